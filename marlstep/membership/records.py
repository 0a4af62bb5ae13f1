"""Membership records: the state of one node, and the order of precedence between records of the same node.

Successive processes use the same node name. `generation` orders them: it is the wall-clock time at the start of the
process, raised above the generation of any earlier process that this process learns of, so that a clock that was set
back does no harm. Records of one process are ordered by the incarnation number (SWIM, section 4.2), which only the node
itself raises, to refute a suspicion.
"""

from __future__ import annotations

import enum
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

from marlstep.errors import MarlstepError

MAX_NAME_LENGTH = 64  # characters
MAX_PORT = 65_535


class MemberState(enum.StrEnum):
    """The state of a member. The values are part of the wire format."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # did not acknowledge a probe, and may still refute that
    FAILED = "failed"  # did not refute the suspicion in time: SWIM's "confirm"
    LEFT = "left"  # announced its shutdown


STATE_PRECEDENCE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.FAILED: 2, MemberState.LEFT: 3}
REACHABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


class InvalidRecordError(MarlstepError, ValueError):
    """A record of a peer is invalid; the message that carries it has to be dropped."""

    def __init__(self, part: str, expected: str) -> None:
        """Initialize with the invalid part of the record, and what was expected there."""
        super().__init__(f"membership records, {part}: expected {expected}")


@dataclass(slots=True, frozen=True)
class MemberRecord:
    """A statement of one node about itself or another node."""

    node: str
    process_id: str
    generation: int  # milliseconds since the epoch; see the module's docstring
    incarnation: int
    state: MemberState
    address: str  # host and port of both streams and datagrams, such as 127.0.0.1:7001
    zone: str = ""
    reported_by: str = ""  # the node that suspects `node` or that declared it failed

    @property
    def process_generation(self) -> tuple[int, str]:
        """Identifies the process; a later process of the same name has a greater value."""
        return self.generation, self.process_id

    @property
    def precedence(self) -> tuple[int, str, int, int]:
        """Orders the records of one node: the one with the greatest value overrides the others (SWIM, section 4.2)."""
        return self.generation, self.process_id, self.incarnation, STATE_PRECEDENCE[self.state]

    def with_state(self, state: MemberState, reported_by: str = "") -> MemberRecord:
        """Return a copy with another state and reporter."""
        return replace(self, state=state, reported_by=reported_by)


@lru_cache(4_096)
def is_address(text: str) -> bool:
    """Return whether the text is an IP address and a port; host names are never resolved."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def write_records(records: Sequence[MemberRecord]) -> list[list[Any]]:
    """Return the wire form: rows without keys, to save space in datagrams."""
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
    """Parse the wire form that `write_records` returns.

    Raises:
        TypeError: a row is not a sequence.
        ValueError: a value, or the number of values in a row, is invalid.
    """
    if not isinstance(value, list):
        raise InvalidRecordError("rows", f"a list, got {type(value).__name__}")
    return tuple(_read_record(row) for row in value)


def _read_record(row: Sequence[Any]) -> MemberRecord:
    node, process_id, generation, incarnation, state, address, zone, reported_by = row
    texts = (node, process_id, address, zone, reported_by)
    if not all(isinstance(text, str) and len(text) <= MAX_NAME_LENGTH for text in texts) or not node:
        raise InvalidRecordError("names", f"texts of at most {MAX_NAME_LENGTH} characters and a node name")
    if not is_address(address):
        raise InvalidRecordError("address", f"an IP address with a port, got {address!r}")
    if type(generation) is not int or type(incarnation) is not int or generation < 0 or incarnation < 0:
        raise InvalidRecordError("generation/incarnation", "non-negative integers")
    return MemberRecord(
        node, process_id, generation, incarnation, MemberState(state), address, zone, reported_by
    )
