"""Anti-entropy over streams: full state exchanges like memberlist's push-pull, and joining through seeds."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime

from marlstep.consensus.raft import RandomSource
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.member_list import MemberList
from marlstep.membership.messages import OutboundMessage, StateExchange
from marlstep.membership.records import MemberRecord
from marlstep.membership.sampling import sample

RECORDS_PER_PAGE = 100  # keeps a page with long names below the maximum message size
SEEDS_PER_JOIN = 2
SEED_PROBABILITY = 0.1  # of a request per probe interval to a seed that is not a reachable member


class StateExchanger:
    """Schedules full state exchanges with one member at a time."""

    def __init__(
        self, members: MemberList, settings: DetectorSettings, random: RandomSource, now: datetime
    ) -> None:
        """Initialize with the first exchange due at a random time within one exchange interval."""
        self._members = members
        self._settings = settings
        self._random = random
        self._next_exchange_at = now + settings.exchange_interval * random.random()
        self._seeds: tuple[str, ...] = ()
        self._state_received = False
        self._reconnected_address = ""  # address of a member on the other side of a healed partition

    @property
    def next_due(self) -> datetime:
        """The time at which the next exchange is due."""
        return self._next_exchange_at

    def join(self, seeds: Iterable[str]) -> list[OutboundMessage]:
        """Request the state of some of the seeds. Other ones are tried as long as this node knows no member."""
        self._seeds = tuple(seed for seed in seeds if seed != self._members.local.address)
        return self._request_state(self._seeds, SEEDS_PER_JOIN)

    def mark_state_received(self) -> None:
        """Record that a member has sent its state."""
        self._state_received = True

    def handle_reconnection(self, now: datetime, record: MemberRecord) -> None:
        """Schedule an early exchange with a member that was declared failed and is alive.

        It may know further nodes on its side of a partition.
        """
        soon = now + self._settings.probe_interval * self._random.random()
        self._next_exchange_at = min(self._next_exchange_at, soon)
        self._reconnected_address = record.address

    def request_missing_state(self) -> list[OutboundMessage]:
        """Request the state of one node if this node may not know all members. Called once per probe interval.

        A node that has just started knows no members until one has sent its state, since pings carry only recent
        changes. Two halves of a cluster that started without contact do not know each other's members: a seed that is
        not a reachable member may be in the other half.
        """
        if not self._state_received:
            candidates = dict.fromkeys((*self._seeds, *self._members.reachable_addresses()))
            return self._request_state(list(candidates), 1)
        if self._random.random() >= SEED_PROBABILITY:
            return []
        known = set(self._members.reachable_addresses())
        return self._request_state([seed for seed in self._seeds if seed not in known], 1)

    def _request_state(self, addresses: Iterable[str], count: int) -> list[OutboundMessage]:
        request = StateExchange(True, (self._members.local,))
        return [
            OutboundMessage(address, request, over_stream=True)
            for address in sample(self._random, list(addresses), count)
        ]

    def start_exchange(self, now: datetime) -> list[OutboundMessage]:
        """Send the whole state to one member, request its state, and schedule the next exchange."""
        interval = self._settings.exchange_interval
        self._next_exchange_at = now + interval * (0.5 + self._random.random())
        if self._reconnected_address:
            address, self._reconnected_address = self._reconnected_address, ""
            return self.pages(address, answer=True)
        addresses = self._members.reachable_addresses()
        if not addresses:
            return self.join(self._seeds)
        return self.pages(sample(self._random, addresses, 1)[0], answer=True)

    def pages(self, address: str, answer: bool) -> list[OutboundMessage]:
        """Return all records as messages to `address`; with `answer` the last page requests the receiver's records."""
        records = [self._members.local, *(member.record for member in self._members.others.values())]
        pages = [
            tuple(records[start : start + RECORDS_PER_PAGE])
            for start in range(0, len(records), RECORDS_PER_PAGE)
        ]
        return [
            OutboundMessage(address, StateExchange(answer and page is pages[-1], page), over_stream=True)
            for page in pages
        ]
