"""Messages between lease holders and the group's leader, and among lease holders."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import starmap
from typing import Any, ClassVar, NamedTuple

from marlstep.errors import MarlstepError
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, ValueType, read_fields, wire, write_fields


class InvalidValueError(MarlstepError, ValueError):
    """Raised for a message field that does not have the expected form."""

    def __init__(self, value: object, expected: str) -> None:
        """Initialize with the received value and the expected form, as a noun phrase."""
        super().__init__(f"expected {expected}, got {value!r:.80}")


class LeaseToken(NamedTuple):
    """A lease and the fencing token of one of its grants. This and the other rows below are written as lists."""

    name: str
    token: int


class TenantDemand(NamedTuple):
    """Rate of one tenant's requests at a process."""

    tenant: str
    millirequests_per_s: int


class DocumentState(NamedTuple):
    """State of one replicated document on a process."""

    document: str
    version: int
    state: str
    for_ms: int  # how long it has been in that state
    reason: str  # why the process does not use a newer version; empty if there is no reason


class QuotaShareRow(NamedTuple):
    """The portion of a tenant's allowance that one process may use."""

    tenant: str
    granted: int  # millionths of the allowance
    target: int  # millionths to which the process should reduce its portion; otherwise equal to `granted`


class RequestCounts(NamedTuple):
    """Counts of the requests of one process since it started."""

    read: int = 0  # requests accepted at intake
    refused: int = 0  # of those, rejected
    failed: int = 0  # of those, failed or late


NO_REQUESTS = RequestCounts()


def _read_list(value: object) -> list[Any]:
    if not isinstance(value, list):
        raise InvalidValueError(value, "a list")
    return value


def _read_rows(value: object, *column_types: type) -> list[list[Any]]:
    """Return a list of rows, each with exactly one value per column type. A boolean is not an integer here."""
    rows = _read_list(value)
    for row in rows:
        if not isinstance(row, list) or tuple(map(type, row)) != column_types:
            raise InvalidValueError(
                row, f"a row of {', '.join(column_type.__name__ for column_type in column_types)}"
            )
    return rows


def read_lease_tokens(value: object) -> tuple[LeaseToken, ...]:
    """Read rows of a lease name and a token. Raises InvalidValueError if the value has another form."""
    return tuple(starmap(LeaseToken, _read_rows(value, str, int)))


def read_tenant_demand(value: object) -> tuple[TenantDemand, ...]:
    """Read rows of a tenant and its demand. Raises InvalidValueError if the value has another form."""
    return tuple(starmap(TenantDemand, _read_rows(value, str, int)))


def read_names(value: object) -> tuple[str, ...]:
    """Read a list of names. Raises InvalidValueError if the value has another form."""
    names = _read_list(value)
    if not all(isinstance(name, str) for name in names):
        raise InvalidValueError(value, "a list of strings")
    return tuple(names)


def read_document_states(value: object) -> tuple[DocumentState, ...]:
    """Read the fields of `DocumentState` as rows. Raises InvalidValueError if the value has another form."""
    return tuple(starmap(DocumentState, _read_rows(value, str, int, str, int, str)))


def read_request_counts(value: object) -> RequestCounts:
    """Read one row of three counts. Raises InvalidValueError if the value has another form."""
    [counts] = _read_rows([value], int, int, int)
    return RequestCounts(*counts)


def read_quota_shares(value: object) -> tuple[QuotaShareRow, ...]:
    """Read the fields of `QuotaShareRow` as rows. Raises InvalidValueError if the value has another form."""
    return tuple(starmap(QuotaShareRow, _read_rows(value, str, int, int)))


def _write_rows(rows: Iterable[tuple[object, ...]]) -> list[list[object]]:
    """Convert the rows to lists, as orjson does not serialize subclasses of tuple."""
    return list(map(list, rows))


LEASE_TOKENS = ValueType(read_lease_tokens, _write_rows)
TENANT_DEMAND = ValueType(read_tenant_demand, _write_rows)
NAMES = ValueType(read_names)
DOCUMENT_STATES = ValueType(read_document_states, _write_rows)
REQUEST_COUNTS = ValueType(read_request_counts, list)
QUOTA_SHARES = ValueType(read_quota_shares, _write_rows)


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Sent by a process to its group: reports that it is alive, and names the leases that it wants and returns.

    A process renews a held lease by naming it as wanted.
    """

    wire_tag: ClassVar[str] = "Beat"

    node: str = field(metadata=wire("node", TEXT))
    process_id: str = field(metadata=wire("boot", TEXT))  # never reused, not even by the same node
    number: int = field(metadata=wire("number", INTEGER))  # incremented with each heartbeat of the process
    wanted_leases: tuple[str, ...] = field(metadata=wire("wants", NAMES))
    returned_leases: tuple[LeaseToken, ...] = field(metadata=wire("returns", LEASE_TOKENS), default=())
    # Maximum number of task leases that the process may hold; 0: no limit.
    max_leases: int = field(metadata=wire("most", INTEGER), default=0)
    # The process's clock, from which the leader measures its drift; 0: not sent.
    clock_us: int = field(metadata=wire("clock_us", INTEGER), default=0)
    document_states: tuple[DocumentState, ...] = field(metadata=wire("acts", DOCUMENT_STATES), default=())
    request_counts: RequestCounts = field(metadata=wire("figures", REQUEST_COUNTS), default=NO_REQUESTS)
    # Nodes that the process's failure detector considers failed.
    failed_nodes: tuple[str, ...] = field(metadata=wire("failed", NAMES), default=())
    tenant_demand: tuple[TenantDemand, ...] = field(metadata=wire("demand", TENANT_DEMAND), default=())


@dataclass(slots=True, frozen=True)
class DocumentStatus:
    """Status of a replicated document: its version in force, and the version being prepared, if any."""

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    digest: str = field(metadata=wire("digest", TEXT))
    prepared_version: int = field(metadata=wire("pending", INTEGER), default=0)  # 0: none
    prepared_digest: str = field(metadata=wire("pending_digest", TEXT), default="")
    strict: bool = field(metadata=wire("strict", BOOLEAN), default=False)
    # Nodes that already use the prepared version, as a stage of its rollout.
    rollout_nodes: tuple[str, ...] = field(metadata=wire("on", NAMES), default=())


def read_document_statuses(value: object) -> tuple[DocumentStatus, ...]:
    """Read a list of objects, one per document.

    Raises:
        InvalidValueError: the value is not a list.
        ValueError, KeyError, TypeError, AttributeError: an element is not a valid `DocumentStatus`.
    """
    return tuple(read_fields(DocumentStatus, status) for status in _read_list(value))


def write_document_statuses(statuses: Iterable[DocumentStatus]) -> list[object]:
    """Return the statuses as JSON values."""
    return [write_fields(status) for status in statuses]


DOCUMENT_STATUSES = ValueType(read_document_statuses, write_document_statuses)


@dataclass(slots=True, frozen=True)
class RelayAnnouncement:
    """Sent by a successor process to its node's current process, which owns the node's address.

    It asks the current process to forward messages for the successor to this port.
    """

    wire_tag: ClassVar[str] = "Relay"

    holder: str = field(metadata=wire("holder", TEXT))
    port: int = field(metadata=wire("port", INTEGER))


@dataclass(slots=True, frozen=True)
class HeartbeatResponse:
    """The response to a heartbeat; the leader's response names the leases on which the process may continue to act.

    Responses are ordered by term and sequence. One that arrives after a later one is ignored.
    """

    wire_tag: ClassVar[str] = "Beaten"

    number: int = field(metadata=wire("number", INTEGER))
    from_leader: bool = field(metadata=wire("good", BOOLEAN))
    leader: str = field(metadata=wire("leader", TEXT))  # the leader's node; empty if unknown
    term: int = field(metadata=wire("term", INTEGER), default=0)
    sequence: int = field(metadata=wire("count", INTEGER), default=0)  # incremented with each response
    leases: tuple[LeaseToken, ...] = field(metadata=wire("leases", LEASE_TOKENS), default=())
    # The process's clock drifts by more than the bound that leases allow for.
    clock_drifts: bool = field(metadata=wire("drifts", BOOLEAN), default=False)
    documents: tuple[DocumentStatus, ...] = field(metadata=wire("news", DOCUMENT_STATUSES), default=())
    quota_shares: tuple[QuotaShareRow, ...] = field(metadata=wire("shares", QUOTA_SHARES), default=())


@dataclass(slots=True, frozen=True)
class ServerRecovered:
    """Sent by the holder of a pool's lease to all nodes when it could connect to the server again."""

    wire_tag: ClassVar[str] = "Probed"

    pool: str = field(metadata=wire("pool", TEXT))
    server: str = field(metadata=wire("server", TEXT))
    token: int = field(metadata=wire("token", INTEGER))
