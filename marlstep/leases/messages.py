"""What holders and the group write to each other about leases."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, ValueType, read_fields, wire, write_fields

LeaseToken = tuple[str, int]  # name and token
DocumentState = tuple[
    str, int, str, int, str
]  # document, version, state, for how many ms, why it is no further
QuotaShareRow = tuple[str, int, int]  # tenant, millionths of its allowance, and what they are to come down to
RequestCounts = tuple[
    int, int, int
]  # requests read, of them refused, and failed or late, since the process began


def read_lease_tokens(value: object) -> tuple[LeaseToken, ...]:
    """Raises ValueError or TypeError."""
    if not isinstance(value, list):
        raise ValueError("leases must be a list")
    for name, token in value:
        if not isinstance(name, str) or type(token) is not int:
            raise ValueError("a lease has a name and a token")
    return tuple((name, token) for name, token in value)


def read_names(value: object) -> tuple[str, ...]:
    """Raises ValueError."""
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise ValueError("names must be a list of words")
    return tuple(value)


def read_document_states(value: object) -> tuple[DocumentState, ...]:
    """Raises ValueError or TypeError."""
    if not isinstance(value, list):
        raise ValueError("acts must be a list")
    rows = [(name, version, state, for_ms, why) for name, version, state, for_ms, why in value]
    for name, version, state, for_ms, why in rows:
        texts, numbers = (name, state, why), (version, for_ms)
        if not all(isinstance(one, str) for one in texts) or any(type(one) is not int for one in numbers):
            raise ValueError("no word of what is acted on")
    return tuple(rows)


def read_request_counts(value: object) -> RequestCounts:
    """Raises ValueError or TypeError."""
    if not isinstance(value, list) or any(type(one) is not int for one in value):
        raise ValueError("figures must be numbers")
    asked, refused, failed = value
    return asked, refused, failed


def read_quota_shares(value: object) -> tuple[QuotaShareRow, ...]:
    """Raises ValueError or TypeError."""
    if not isinstance(value, list):
        raise ValueError("shares must be a list")
    rows = [(tenant, now, asked) for tenant, now, asked in value]
    if not all(isinstance(row[0], str) and type(row[1]) is int and type(row[2]) is int for row in rows):
        raise ValueError("a share has a tenant and two parts")
    return tuple(rows)


LEASE_TOKENS = ValueType(read_lease_tokens)
NAMES = ValueType(read_names)
DOCUMENT_STATES = ValueType(read_document_states)
REQUEST_COUNTS = ValueType(read_request_counts)
QUOTA_SHARES = ValueType(read_quota_shares)


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """A node's word to the group: it is there, wants these leases, and has done with those.

    One that wants a lease it holds renews it by that.
    """

    wire_tag: ClassVar[str] = "Beat"

    node: str = field(metadata=wire("node", TEXT))
    process_id: str = field(metadata=wire("boot", TEXT))  # of this life of the node's process
    number: int = field(metadata=wire("number", INTEGER))
    wanted_leases: tuple[str, ...] = field(metadata=wire("wants", NAMES))
    returned_leases: tuple[LeaseToken, ...] = field(metadata=wire("returns", LEASE_TOKENS), default=())
    max_leases: int = field(metadata=wire("most", INTEGER), default=0)  # leases that it takes; 0: any number
    # of the node, to see whether it goes true
    clock_us: int = field(metadata=wire("clock_us", INTEGER), default=0)
    document_states: tuple[DocumentState, ...] = field(
        metadata=wire("acts", DOCUMENT_STATES), default=()
    )  # which documents it acts on
    request_counts: RequestCounts = field(metadata=wire("figures", REQUEST_COUNTS), default=(0, 0, 0))
    # nodes that it hears as failed
    failed_nodes: tuple[str, ...] = field(metadata=wire("failed", NAMES), default=())
    # by tenant, thousandths of a request a second
    tenant_demand: tuple[LeaseToken, ...] = field(metadata=wire("demand", LEASE_TOKENS), default=())


@dataclass(slots=True, frozen=True)
class DocumentStatus:
    """How one document stands: the version in force, and the one that is being prepared, if any."""

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    digest: str = field(metadata=wire("digest", TEXT))
    prepared_version: int = field(metadata=wire("pending", INTEGER), default=0)  # 0: none
    prepared_digest: str = field(metadata=wire("pending_digest", TEXT), default="")
    strict: bool = field(metadata=wire("strict", BOOLEAN), default=False)
    # nodes that act on the one that is being prepared already: a stage
    rollout_nodes: tuple[str, ...] = field(metadata=wire("on", NAMES), default=())


def read_document_statuses(value: object) -> tuple[DocumentStatus, ...]:
    """Raises ValueError or TypeError."""
    if not isinstance(value, list):
        raise ValueError("news must be a list")
    return tuple(read_fields(DocumentStatus, row) for row in value)


def write_document_statuses(news: tuple[DocumentStatus, ...]) -> object:
    """As JSON has it."""
    return [write_fields(one) for one in news]


DOCUMENT_STATUSES = ValueType(read_document_statuses, write_document_statuses)


@dataclass(slots=True, frozen=True)
class RelayAnnouncement:
    """From a process of a node that does not have the node's address yet to the one that has: it is to be passed what
    is for it, to this port."""

    wire_tag: ClassVar[str] = "Relay"

    holder: str = field(metadata=wire("holder", TEXT))
    port: int = field(metadata=wire("port", INTEGER))


@dataclass(slots=True, frozen=True)
class HeartbeatResponse:
    """The leader's answer to a beat: all leases that are this node's. `good` is false from who does not lead.

    Term and count order the answers: one that was overtaken is of no use any more.
    """

    wire_tag: ClassVar[str] = "Beaten"

    number: int = field(metadata=wire("number", INTEGER))
    from_leader: bool = field(metadata=wire("good", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))  # node, as far as is known
    term: int = field(metadata=wire("term", INTEGER), default=0)
    sequence: int = field(metadata=wire("count", INTEGER), default=0)  # grows with every answer of a leader
    leases: tuple[LeaseToken, ...] = field(metadata=wire("leases", LEASE_TOKENS), default=())
    # the node's clock errs beyond what is guarded against
    clock_drifts: bool = field(metadata=wire("drifts", BOOLEAN), default=False)
    documents: tuple[DocumentStatus, ...] = field(metadata=wire("news", DOCUMENT_STATUSES), default=())
    # of allowances, that are this process's
    quota_shares: tuple[QuotaShareRow, ...] = field(metadata=wire("shares", QUOTA_SHARES), default=())


@dataclass(slots=True, frozen=True)
class ServerRecovered:
    """From the holder of a pool's lease to all: a connection to this server stood."""

    wire_tag: ClassVar[str] = "Probed"

    pool: str = field(metadata=wire("pool", TEXT))
    server: str = field(metadata=wire("server", TEXT))
    token: int = field(metadata=wire("token", INTEGER))
