"""Division of a node's capacity (memory, requests and connections) between its processes, as shares that sum to 1.

"Share" always means a capacity share. Only the process that owns a share can grant it, and only after it has limited
itself to what it keeps, so two processes together never use more than the node's capacity. If their connection is lost,
each reclaims the share of the other only once that one must have ended. Until then a predecessor uses at most half, and
a successor owns half, or more if more was granted to it. A successor that replaces a lost one in that time gets half of
what its predecessor owns; the share of the lost one is divided when it is reclaimed.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

FULL_SHARE, HALF_SHARE = 1.0, 0.5  # of the node's capacity
MIN_HANDOVER_SHARE = 0.2  # kept by a predecessor that hands over, for requests that still arrive
MIN_TRANSFER_SHARE = 0.02  # smallest grant except the last, so that small changes cause no messages


@dataclass(slots=True, frozen=True)
class LostShare:
    """A share that was granted to a successor that was lost. It may be in use until that process must have ended."""

    share: float  # 0 to 1; 0 for a process of unknown version, to which nothing was granted
    ended_by: datetime


class ResourceSharing:
    """One process's part of the node's capacity; the whole capacity while it is the sole process."""

    def __init__(self) -> None:
        """Initialize the shares of the sole process of a node."""
        self._owned_share = FULL_SHARE
        self._granted_share = 0.0  # to the successor
        self._has_predecessor = self._has_successor = False
        self._handover_limit = FULL_SHARE  # lowered once this process hands over
        self._predecessor_ended_by: datetime | None = None  # set once the predecessor is lost
        self._lost_shares: list[LostShare] = []

    @property
    def owned_share(self) -> float:
        """The share, 0 to 1, that no other process may use. It can exceed `limit` until the rest is granted."""
        return self._owned_share

    @property
    def limit(self) -> float:
        """The share, 0 to 1, that this process may use.

        Rule: the whole share that it owns. Exceptions: with a successor at most half of the share of both, because the
        rest is to be granted; beside lost successors alone at most half of the share of all; while it hands over
        at most the share that its requests in flight may need, but not less than `MIN_HANDOVER_SHARE` for that reason.
        """
        limit_beside_others = FULL_SHARE
        if self._has_successor:
            limit_beside_others = (self._owned_share + self._granted_share) * HALF_SHARE
        elif self._lost_shares:
            limit_beside_others = (self._owned_share + self._lost_share) * HALF_SHARE
        return min(self._owned_share, limit_beside_others, self._handover_limit)

    @property
    def _lost_share(self) -> float:
        return sum(lost.share for lost in self._lost_shares)

    @property
    def is_sole_process(self) -> bool:
        """Whether no other process may use any part of the capacity."""
        return not (self._has_predecessor or self._has_successor or self._lost_shares)

    def predecessor_connected(self) -> None:
        """Own no share until the predecessor grants one: it owns the whole capacity."""
        self._has_predecessor, self._owned_share = True, 0.0

    def receive(self, share: float) -> None:
        """Add a share, 0 to 1, that the predecessor granted. Ignore a share outside that range."""
        if self._has_predecessor and 0 < share <= FULL_SHARE:
            available_share = FULL_SHARE - self._granted_share - self._lost_share
            self._owned_share = min(available_share, self._owned_share + share)

    def predecessor_done(self) -> None:
        """Own the whole capacity except the shares granted to successors: the predecessor has ended."""
        self._has_predecessor = False
        self._owned_share = FULL_SHARE - self._granted_share - self._lost_share

    def predecessor_lost(self, now: datetime, termination_timeout: timedelta) -> None:
        """Own at least half until the lost predecessor must have ended, `termination_timeout` from now.

        Shares that this process has granted to its own successors count toward that half.
        """
        if self._has_predecessor and self._predecessor_ended_by is None:
            self._predecessor_ended_by = now + termination_timeout
            self._owned_share = max(self._owned_share, HALF_SHARE - self._granted_share - self._lost_share)

    def predecessor_unreachable(self, now: datetime, termination_timeout: timedelta) -> None:
        """Own half until a process that did not answer must have ended, `termination_timeout` from now.

        Called only at startup and without a connected predecessor: the process that did not answer may use the rest.
        """
        self._has_predecessor, self._predecessor_ended_by = True, now + termination_timeout
        self._owned_share = HALF_SHARE

    def unknown_process_connected(self, now: datetime, termination_timeout: timedelta) -> None:
        """Use at most half until a process of unknown version must have ended, `termination_timeout` from now.

        Called if no successor is connected: the unknown process may serve in parallel.
        """
        self._lost_shares.append(LostShare(0.0, now + termination_timeout))

    def successor_connected(self) -> None:
        """Use at most half from now on; the rest is granted to the successor as it becomes free."""
        self._has_successor = True

    def successor_lost(self, now: datetime, termination_timeout: timedelta) -> None:
        """Reclaim the granted share once the lost successor must have ended, `termination_timeout` from now."""
        self._handover_limit = FULL_SHARE  # no process is left to hand over to
        if self._has_successor:
            self._lost_shares.append(LostShare(self._granted_share, now + termination_timeout))
            self._has_successor, self._granted_share = False, 0.0

    def hand_over(self, needed_share: float) -> None:
        """Limit this process, which hands over, to the share that its requests in flight may need.

        The new limit is the needed share, but at least `MIN_HANDOVER_SHARE` and never above the previous limit.

        Args:
            needed_share: the most that the requests in flight may use, 0 to 1.
        """
        self._handover_limit = min(self.limit, max(MIN_HANDOVER_SHARE, needed_share))

    def grant(self, share_in_use: float, all_remaining: bool = False) -> float:
        """Grant the free share to the successor and return the share to send; 0 if there is nothing to send.

        Args:
            share_in_use: the share that this process uses now, 0 to 1.
            all_remaining: whether to grant everything that is left, because this process ends.
        """
        free_share = self._owned_share if all_remaining else self._owned_share - max(self.limit, share_in_use)
        worth_sending = free_share > 0 and (all_remaining or free_share >= MIN_TRANSFER_SHARE)
        if not (self._has_successor and worth_sending):
            return 0.0
        self._owned_share -= free_share
        self._granted_share += free_share
        return free_share

    def reclaim_lost_shares(self, now: datetime) -> None:
        """Reclaim the shares of lost processes that must have ended by now."""
        if self._predecessor_ended_by is not None and self._predecessor_ended_by <= now:
            self._predecessor_ended_by = None
            self.predecessor_done()
        self._owned_share += sum(lost.share for lost in self._lost_shares if lost.ended_by <= now)
        self._lost_shares = [lost for lost in self._lost_shares if lost.ended_by > now]
