"""Messages between lease holders, their group's leader and each other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import starmap
from typing import Any, ClassVar, NamedTuple

from marlstep.errors import MarlstepError
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, ValueType, read_fields, wire, write_fields


class InvalidValueError(MarlstepError, ValueError):
    """A field of a message that is not of the expected form."""

    def __init__(self, value: object, expected: str) -> None:
        """`value` is what came; `expected` is the form, as a noun phrase."""
        super().__init__(f"expected {expected}, got {value!r:.80}")


class LeaseToken(NamedTuple):
    """A lease under one of its grants. It is written as a list, as are the other rows below."""

    name: str
    token: int


class TenantDemand(NamedTuple):
    """How much work of one tenant comes to a process."""

    tenant: str
    millirequests_per_s: int


class DocumentState(NamedTuple):
    """What a process does with one replicated document."""

    document: str
    version: int
    state: str
    for_ms: int  # since when it has been in that state
    reason: str  # why it acts on no newer version; empty where there is none


class QuotaShareRow(NamedTuple):
    """The part of a tenant's allowance that one process may use."""

    tenant: str
    granted: int  # millionths of the allowance
    target: int  # millionths that it is asked to come down to; the same where nothing is asked


class RequestCounts(NamedTuple):
    """Requests of one process since it began."""

    read: int = 0
    refused: int = 0  # of those that were read
    failed: int = 0  # of those that were read: failed or late


NO_REQUESTS = RequestCounts()


def _read_list(value: object) -> list[Any]:
    if not isinstance(value, list):
        raise InvalidValueError(value, "a list")
    return value


def _read_rows(value: object, *column_types: type) -> list[list[Any]]:
    """A list of rows that have a value of each of these types, and no other. A boolean is no integer."""
    rows = _read_list(value)
    for row in rows:
        if not isinstance(row, list) or tuple(map(type, row)) != column_types:
            raise InvalidValueError(row, f"a row of {', '.join(kind.__name__ for kind in column_types)}")
    return rows


def read_lease_tokens(value: object) -> tuple[LeaseToken, ...]:
    """Rows of a name and a token. Raises InvalidValueError."""
    return tuple(starmap(LeaseToken, _read_rows(value, str, int)))


def read_tenant_demand(value: object) -> tuple[TenantDemand, ...]:
    """Rows of a tenant and its demand. Raises InvalidValueError."""
    return tuple(starmap(TenantDemand, _read_rows(value, str, int)))


def read_names(value: object) -> tuple[str, ...]:
    """A list of names. Raises InvalidValueError."""
    names = _read_list(value)
    if not all(isinstance(name, str) for name in names):
        raise InvalidValueError(value, "a list of strings")
    return tuple(names)


def read_document_states(value: object) -> tuple[DocumentState, ...]:
    """Rows of five columns, one for each document. Raises InvalidValueError."""
    return tuple(starmap(DocumentState, _read_rows(value, str, int, str, int, str)))


def read_request_counts(value: object) -> RequestCounts:
    """One row of three counts. Raises InvalidValueError."""
    [counts] = _read_rows([value], int, int, int)
    return RequestCounts(*counts)


def read_quota_shares(value: object) -> tuple[QuotaShareRow, ...]:
    """Rows of a tenant, its part and the part's target. Raises InvalidValueError."""
    return tuple(starmap(QuotaShareRow, _read_rows(value, str, int, int)))


def _write_rows(rows: Iterable[tuple[object, ...]]) -> list[list[object]]:
    """As lists: the JSON writer takes no subclass of tuple."""
    return list(map(list, rows))


LEASE_TOKENS = ValueType(read_lease_tokens, _write_rows)
TENANT_DEMAND = ValueType(read_tenant_demand, _write_rows)
NAMES = ValueType(read_names)
DOCUMENT_STATES = ValueType(read_document_states, _write_rows)
REQUEST_COUNTS = ValueType(read_request_counts, list)
QUOTA_SHARES = ValueType(read_quota_shares, _write_rows)


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """From a process to its group: it is alive, wants these leases, and gives those back.

    It renews a lease that it holds by wanting it.
    """

    wire_tag: ClassVar[str] = "Beat"

    node: str = field(metadata=wire("node", TEXT))
    process_id: str = field(metadata=wire("boot", TEXT))  # never used again, also by the same node
    number: int = field(metadata=wire("number", INTEGER))  # grows by one with each heartbeat of the process
    wanted_leases: tuple[str, ...] = field(metadata=wire("wants", NAMES))
    returned_leases: tuple[LeaseToken, ...] = field(metadata=wire("returns", LEASE_TOKENS), default=())
    # The most leases of tasks that it takes; 0: any number.
    max_leases: int = field(metadata=wire("most", INTEGER), default=0)
    # Its clock, for the leader to measure its drift; 0: not sent.
    clock_us: int = field(metadata=wire("clock_us", INTEGER), default=0)
    document_states: tuple[DocumentState, ...] = field(metadata=wire("acts", DOCUMENT_STATES), default=())
    request_counts: RequestCounts = field(metadata=wire("figures", REQUEST_COUNTS), default=NO_REQUESTS)
    # Nodes that its failure detector takes for failed.
    failed_nodes: tuple[str, ...] = field(metadata=wire("failed", NAMES), default=())
    tenant_demand: tuple[TenantDemand, ...] = field(metadata=wire("demand", TENANT_DEMAND), default=())


@dataclass(slots=True, frozen=True)
class DocumentStatus:
    """One replicated document: its version in force, and the one that is being prepared, if any."""

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    digest: str = field(metadata=wire("digest", TEXT))
    prepared_version: int = field(metadata=wire("pending", INTEGER), default=0)  # 0: none
    prepared_digest: str = field(metadata=wire("pending_digest", TEXT), default="")
    strict: bool = field(metadata=wire("strict", BOOLEAN), default=False)
    # Nodes that act on the prepared version already: a stage of its rollout.
    rollout_nodes: tuple[str, ...] = field(metadata=wire("on", NAMES), default=())


def read_document_statuses(value: object) -> tuple[DocumentStatus, ...]:
    """Objects, one for each document. Raises ValueError, KeyError, TypeError or AttributeError."""
    return tuple(read_fields(DocumentStatus, status) for status in _read_list(value))


def write_document_statuses(statuses: Iterable[DocumentStatus]) -> list[object]:
    """The statuses as JSON values."""
    return [write_fields(status) for status in statuses]


DOCUMENT_STATUSES = ValueType(read_document_statuses, write_document_statuses)


@dataclass(slots=True, frozen=True)
class RelayAnnouncement:
    """From a successor process to its node's present one, which has the node's address.

    Messages for the successor are to be forwarded to this port.
    """

    wire_tag: ClassVar[str] = "Relay"

    holder: str = field(metadata=wire("holder", TEXT))
    port: int = field(metadata=wire("port", INTEGER))


@dataclass(slots=True, frozen=True)
class HeartbeatResponse:
    """The leader's response to a heartbeat: all leases that are the process's.

    Term and sequence order the responses: one that was overtaken by a later one is void.
    """

    wire_tag: ClassVar[str] = "Beaten"

    number: int = field(metadata=wire("number", INTEGER))
    from_leader: bool = field(metadata=wire("good", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))  # its node; empty where it is not known
    term: int = field(metadata=wire("term", INTEGER), default=0)
    sequence: int = field(metadata=wire("count", INTEGER), default=0)  # grows with each response
    leases: tuple[LeaseToken, ...] = field(metadata=wire("leases", LEASE_TOKENS), default=())
    # The process's clock drifts by more than leases guard against.
    clock_drifts: bool = field(metadata=wire("drifts", BOOLEAN), default=False)
    documents: tuple[DocumentStatus, ...] = field(metadata=wire("news", DOCUMENT_STATUSES), default=())
    quota_shares: tuple[QuotaShareRow, ...] = field(metadata=wire("shares", QUOTA_SHARES), default=())


@dataclass(slots=True, frozen=True)
class ServerRecovered:
    """From the holder of a pool's lease to all nodes: it could connect to this server again."""

    wire_tag: ClassVar[str] = "Probed"

    pool: str = field(metadata=wire("pool", TEXT))
    server: str = field(metadata=wire("server", TEXT))
    token: int = field(metadata=wire("token", INTEGER))
