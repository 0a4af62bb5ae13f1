"""Membership records: the state of one node, and the order that decides between two records of it.

A node name is reused by successive processes. `generation` orders the processes of a name: it is the wall clock's time
at the start of the process, raised above that of any earlier process that is heard of, so that a clock set back does
no harm. Within one process the incarnation number orders (SWIM, section 4.2); only the node itself raises it, to refute
a suspicion.
"""

from __future__ import annotations

import enum
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

from marlstep.errors import MarlstepError

MAX_NAME_LENGTH = 64
MAX_PORT = 65_535


class MemberState(enum.StrEnum):
    """The state of a member; the values are those on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # did not acknowledge a probe, and may still refute that
    FAILED = "failed"  # the suspicion timed out: SWIM's "confirm"
    LEFT = "left"  # announced its shutdown


STATE_PRECEDENCE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.FAILED: 2, MemberState.LEFT: 3}
REACHABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


class InvalidRecordError(MarlstepError, ValueError):
    """A record of a peer that can't be read; the message that carries it is to be dropped."""

    def __init__(self, part: str, expected: str) -> None:
        """Name the part of the record that is wrong, and what was expected there."""
        super().__init__(f"membership records, {part}: expected {expected}")


@dataclass(slots=True, frozen=True)
class MemberRecord:
    """What one node states about itself or another."""

    node: str
    process_id: str
    generation: int  # milliseconds since the epoch; see above
    incarnation: int
    state: MemberState
    address: str  # of streams and datagrams, as 127.0.0.1:7001
    zone: str = ""
    reported_by: str = ""  # the node that suspects it, or that declared it failed

    @property
    def process_generation(self) -> tuple[int, str]:
        """Identify the process, ordered by age among the processes of one name."""
        return self.generation, self.process_id

    @property
    def precedence(self) -> tuple[int, str, int, int]:
        """Order the records of one node: the greatest overrides the others (SWIM, section 4.2)."""
        return self.generation, self.process_id, self.incarnation, STATE_PRECEDENCE[self.state]

    def with_state(self, state: MemberState, reported_by: str = "") -> MemberRecord:
        """Return a copy in another state."""
        return replace(self, state=state, reported_by=reported_by)


@lru_cache(4_096)
def is_address(text: str) -> bool:
    """Check for a numeric host and a port; names are never looked up."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def write_records(records: Sequence[MemberRecord]) -> list[list[Any]]:
    """Return the wire form: rows without keys, as datagrams are small."""
    return [
        [
            record.node,
            record.process_id,
            record.generation,
            record.incarnation,
            record.state.value,
            record.address,
            record.zone,
            record.reported_by,
        ]
        for record in records
    ]


def read_records(value: object) -> tuple[MemberRecord, ...]:
    """Read what `write_records` gave. Raises ValueError or TypeError."""
    if not isinstance(value, list):
        raise InvalidRecordError("rows", "a list")
    return tuple(_read_record(row) for row in value)


def _read_record(row: Sequence[Any]) -> MemberRecord:
    node, process_id, generation, incarnation, state, address, zone, reported_by = row
    texts = (node, process_id, address, zone, reported_by)
    if not all(isinstance(text, str) and len(text) <= MAX_NAME_LENGTH for text in texts) or not node:
        raise InvalidRecordError("names", f"texts of at most {MAX_NAME_LENGTH} characters")
    if not is_address(address):
        raise InvalidRecordError("address", "a numeric host with a port")
    if type(generation) is not int or type(incarnation) is not int or generation < 0 or incarnation < 0:
        raise InvalidRecordError("generation/incarnation", "integers from 0")
    return MemberRecord(
        node, process_id, generation, incarnation, MemberState(state), address, zone, reported_by
    )
