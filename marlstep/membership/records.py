"""What is said of one node, and which of two words counts.

A name has lives: a process that is started again under it is another one, told apart by its boot. `born` orders the
lives of a name: the process's wall clock at its start, raised above whatever it hears of an earlier life, so that an
old clock does no harm. Within a life the incarnation orders, which only the node itself raises, to refute a suspicion.
"""

from __future__ import annotations

import enum
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

MAX_NAME_LENGTH = 64


class MemberState(enum.StrEnum):
    ALIVE = "alive"
    SUSPECT = "suspect"  # did not answer: it may still refute that
    FAILED = "failed"
    LEFT = "left"  # said so itself


STATE_PRECEDENCE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.FAILED: 2, MemberState.LEFT: 3}
REACHABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(slots=True, frozen=True)
class MemberRecord:
    node: str
    process_id: str
    generation: int  # milliseconds; see above
    incarnation: int
    state: MemberState
    address: str  # of its lines and datagrams, as 127.0.0.1:7001
    zone: str = ""
    reported_by: str = ""  # who suspects it, or has found it failed

    @property
    def process_generation(self) -> tuple[int, str]:
        return self.generation, self.process_id

    @property
    def precedence(self) -> tuple[int, str, int, int]:
        """Of two records of one node the one with the higher order counts."""
        return self.generation, self.process_id, self.incarnation, STATE_PRECEDENCE[self.state]

    def with_state(self, state: MemberState, by: str = "") -> MemberRecord:
        return replace(self, state=state, reported_by=by)


@lru_cache(4_096)
def is_address(text: str) -> bool:
    """Numeric, with a port: there are no names to look up."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= 65_535


def write_records(records: Sequence[MemberRecord]) -> list[list[Any]]:
    """As short as JSON allows: datagrams are small."""
    return [
        [
            one.node,
            one.process_id,
            one.generation,
            one.incarnation,
            one.state.value,
            one.address,
            one.zone,
            one.reported_by,
        ]
        for one in records
    ]


def read_records(value: object) -> tuple[MemberRecord, ...]:
    """Raises ValueError or TypeError."""
    if not isinstance(value, list):
        raise ValueError("records must be a list")
    found = []
    for node, boot, born, incarnation, state, address, zone, by in value:
        texts = (node, boot, address, zone, by)
        if not all(isinstance(one, str) and len(one) <= MAX_NAME_LENGTH for one in texts) or not node:
            raise ValueError("a record's names")
        if not is_address(address):
            raise ValueError("a record's address must be numeric, with a port")
        if type(born) is not int or type(incarnation) is not int or born < 0 or incarnation < 0:
            raise ValueError("a record's numbers")
        found.append(MemberRecord(node, boot, born, incarnation, MemberState(state), address, zone, by))
    return tuple(found)
