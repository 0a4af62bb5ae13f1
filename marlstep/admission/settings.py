"""Settings of one server's admission controller, provided by the simulator or the platform at its start.

Durations are whole microseconds, sizes are kilobytes. In stored settings most fields have a different key,
which is declared with the field; errors name the stored key.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from collections.abc import Mapping
from dataclasses import dataclass, field

from marlstep.errors import MarlstepError

STORED_KEY = "stored_key"  # key in the metadata of a field


class InvalidSettingError(MarlstepError, ValueError):
    """A setting is missing, of the wrong type or invalid; the message starts with its path.

    Attributes:
        path: Path of the setting, made of stored keys, such as `classes[0].deadline_us`.
        problem: What is wrong with it, phrased to follow the path.
    """

    def __init__(self, path: str, problem: str) -> None:
        """Initialize the error with the path of the setting and the problem."""
        super().__init__(f"{path} {problem}")
        self.path = path
        self.problem = problem


class Effect(enum.StrEnum):
    """Whether a request of a class may run again. The values are part of stored data and must not change."""

    IDEMPOTENT = "safe"  # may run any number of times
    KEYED = "keyed"  # idempotent within its window, by an idempotency key
    AT_MOST_ONCE = "unsafe"


class PreemptionMode(enum.StrEnum):
    """What happens to a preempted run."""

    NONE = "none"  # runs can't be preempted
    DROP = "drop"  # the run loses its progress, the request is queued again
    PAUSE = "pause"  # the run keeps its progress and its memory


class LoadSignal(enum.StrEnum):
    """How callers interpret the value that a server advertises."""

    NONE = "none"
    LEVEL = "level"  # callers do not send requests ranked below it
    CREDIT = "credit"  # maximum of outstanding requests of each caller
    WEIGHT = "weight"  # probability that a caller does not skip this server


class Downstream(enum.StrEnum):
    """Target of the downstream calls of a server."""

    NONE = "none"
    SHARED = "shared"  # one dependency common to all servers of the tier
    TIER = "tier"  # another tier of servers


def stored_as(key: str) -> Mapping[str, str]:
    """Return the metadata of a field that has a different key in stored settings and for operators."""
    return {STORED_KEY: key}


def stored_key(setting: dataclasses.Field[typing.Any]) -> str:
    """Return the key of a field in stored settings: the one declared with the field, else its name."""
    return str(setting.metadata.get(STORED_KEY, setting.name))


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One request class.

    Attributes:
        name: Name of the class in requests.
        effect: Whether a request may run again.
        latency_objective_us: Latency objective from the arrival; a later response earns only
            `late_response_factor` of the weight.
        deadline_us: Deadline from the arrival; a later response does not count.
        idempotency_window_us: How long an idempotency key is kept; 0 for classes without keys.
        priority_weight: What a response within the objective earns.
        late_response_factor: Share of the priority weight that a response after the objective earns, 0 to 1.
        makes_calls: Whether runs of the class make downstream calls.
        skipped_call_factor: Share of the priority weight that remains if a call is skipped, 0 to 1; if 0,
            calls may not be skipped.
    """

    name: str
    effect: Effect
    latency_objective_us: int = field(metadata=stored_as("aim_us"))
    deadline_us: int
    idempotency_window_us: int = field(metadata=stored_as("window_us"))
    priority_weight: float = field(metadata=stored_as("worth"))
    late_response_factor: float = field(metadata=stored_as("late_share"))
    makes_calls: bool = field(metadata=stored_as("calls"))
    skipped_call_factor: float = field(metadata=stored_as("skip_worth"))


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """One tenant.

    Attributes:
        name: Name of the tenant in requests.
        portion: The tenant's portion of the traffic of the whole tier, 0 to 1.
        quota_per_s: Requests per second, over all servers of the tier, that keep their full weight; if 0,
            none do.
    """

    name: str
    portion: float
    quota_per_s: float = field(metadata=stored_as("allowance_per_s"))


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one server, its callers and its dependency.

    Attributes:
        classes: Request classes that the server accepts.
        tenants: Tenants that it accepts; empty if requests have none.
        over_quota_factor: Share of the priority weight that requests beyond the tenant's quota keep, 0 to 1.
        cores: Number of runs that progress at full speed at once.
        memory_kb: Memory for requests and idempotency keys; exceeding it crashes the server.
        running_memory_factor: Memory of a running or paused request as a multiple of that of a queued one.
        idempotency_key_kb: Memory of a kept idempotency key.
        cacheable_us: How long the response to a read may serve other requests; 0 for never.
        server_count: Number of servers of this tier, including this one.
        caller_count: Number of callers of this tier.
        warms_up: Whether the server starts with a part of its capacity.
        initial_capacity_share: Share of the capacity at the start of a server that warms up, 0 to 1.
        warm_up_us: Time after which a server that warms up has its full capacity.
        overload_concurrency_factor: Requests on the cores, per core, that a warm server survives.
        overload_duration_us: Time over which those requests are averaged.
        drain_grace_us: Grace period after a shutdown notice, in which arriving requests are still run.
        response_margin_us: How long after its due time a response still counts.
        tick_us: Precision of the server's timers.
        preemption_mode: What happens to a preempted run.
        load_signal: How callers interpret the value that the server advertises.
        load_signal_lifetime_us: How long callers use an advertised value.
        dependency: Target of downstream calls.
        mean_calls_in_flight: Mean number of calls that this server may have in flight; 0 for no limit.
        call_averaging_us: Time over which that mean is taken.
        abandoned_call_us: Maximum time that an abandoned call stays in the dependency.
        idle_timeout_us: Time after which an idle connection is closed; 0 for never.
        endpoint_list_follows_health: Whether an unhealthy server is removed from the callers' endpoint list.
        deep_health_checks: Whether a health check does real work unless it is served from stored health.
        sends_retry_after: Whether a rejection may carry a Retry-After.
        max_retry_after_us: The longest Retry-After that callers respect.
        marks_retries: Whether callers mark retries.
    """

    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    over_quota_factor: float = field(metadata=stored_as("over_share_worth"))
    cores: int
    memory_kb: float
    running_memory_factor: float = field(metadata=stored_as("run_factor"))
    idempotency_key_kb: float = field(metadata=stored_as("key_kb"))
    cacheable_us: int = field(metadata=stored_as("fresh_us"))
    server_count: int = field(metadata=stored_as("peers"))
    caller_count: int = field(metadata=stored_as("callers"))
    warms_up: bool = field(metadata=stored_as("cold"))
    initial_capacity_share: float = field(metadata=stored_as("cold_share"))
    warm_up_us: int = field(metadata=stored_as("warm_after_us"))
    overload_concurrency_factor: float = field(metadata=stored_as("fall_multiple"))
    overload_duration_us: int = field(metadata=stored_as("fall_us"))
    drain_grace_us: int
    response_margin_us: int = field(metadata=stored_as("answer_slack_us"))
    tick_us: int
    preemption_mode: PreemptionMode = field(metadata=stored_as("halt"))
    load_signal: LoadSignal = field(metadata=stored_as("say"))
    load_signal_lifetime_us: int = field(metadata=stored_as("heeded_us"))
    dependency: Downstream = field(metadata=stored_as("below"))
    mean_calls_in_flight: float = field(metadata=stored_as("calls_out"))
    call_averaging_us: int = field(metadata=stored_as("calls_over_us"))
    abandoned_call_us: int = field(metadata=stored_as("linger_us"))
    idle_timeout_us: int = field(metadata=stored_as("idle_us"))
    endpoint_list_follows_health: bool = field(metadata=stored_as("list_follows_health"))
    deep_health_checks: bool = field(metadata=stored_as("deep_checks"))
    sends_retry_after: bool = field(metadata=stored_as("retry_after"))
    max_retry_after_us: int
    marks_retries: bool = field(metadata=stored_as("marks_retry"))

    @classmethod
    def from_mapping(cls, raw: Mapping[str, object]) -> Settings:
        """Create settings from plain values by stored key.

        Raises:
            InvalidSettingError: If a value is missing, of the wrong type or invalid.
        """
        return typing.cast(Settings, _read(cls, raw, ""))

    def __post_init__(self) -> None:
        """Validate the values.

        Raises:
            InvalidSettingError: If a value is invalid.
        """
        _require(self.cores >= 1, "cores", "must be at least 1")
        _require(len(self.classes) > 0, "classes", "must name at least one class")
        _require(self.memory_kb > 0, "memory_kb", "must be above 0")
        _require(self.running_memory_factor >= 1, "run_factor", "must be at least 1")
        _require(self.overload_concurrency_factor >= 1, "fall_multiple", "must be at least 1")
        _require(0 <= self.initial_capacity_share <= 1, "cold_share", "must lie between 0 and 1")
        _require(self.tick_us >= 1, "tick_us", "must be at least 1")
        _require(self.server_count >= 1, "peers", "must be at least 1")
        _require_not_negative(self, "")
        tables: dict[str, tuple[ClassSettings | TenantSettings, ...]]
        tables = {"classes": self.classes, "tenants": self.tenants}
        for table, rows in tables.items():
            names = [row.name for row in rows]
            _require(len(set(names)) == len(names), table, "names one twice")
            for index, row in enumerate(rows):
                _require_not_negative(row, f"{table}[{index}].")
        for index, request_class in enumerate(self.classes):
            path = f"classes[{index}]"
            _require(request_class.deadline_us >= 1, f"{path}.deadline_us", "must be at least 1")
            _require(request_class.skipped_call_factor <= 1, f"{path}.skip_worth", "must be at most 1")
            _require(request_class.late_response_factor <= 1, f"{path}.late_share", "must be at most 1")


def _require(is_valid: bool, path: str, problem: str) -> None:
    if not is_valid:
        raise InvalidSettingError(path, problem)


def _require_not_negative(item: Settings | ClassSettings | TenantSettings, path: str) -> None:
    for setting in dataclasses.fields(item):
        value = getattr(item, setting.name)
        if isinstance(value, int | float):
            _require(
                0 <= value < float("inf"), path + stored_key(setting), "must be a finite number, 0 or more"
            )


def _read(expected: object, raw: object, path: str) -> object:
    """Convert a plain value to the expected type.

    Raises:
        InvalidSettingError: If the value is missing, of the wrong type or invalid.
    """
    if isinstance(expected, type) and dataclasses.is_dataclass(expected):
        return _read_table(expected, raw, path)
    if typing.get_origin(expected) is tuple:
        return _read_rows(typing.get_args(expected)[0], raw, path)
    if isinstance(expected, type) and issubclass(expected, enum.StrEnum):
        _require(raw in list(expected), path, f"must be one of {', '.join(expected)}")
        return expected(typing.cast(str, raw))
    plain_type = typing.cast(type, expected)
    _require(_is_of_type(raw, plain_type), path, f"must be of type {plain_type.__name__}")
    return raw


def _is_of_type(raw: object, plain_type: type) -> bool:
    """Return whether a value is of a plain type; an int is accepted as a float, a bool not as a number."""
    if isinstance(raw, bool):
        return plain_type is bool
    accepted: type | types.UnionType = (int | float) if plain_type is float else plain_type
    return isinstance(raw, accepted)


def _read_rows(expected: object, raw: object, path: str) -> tuple[object, ...]:
    _require(isinstance(raw, list | tuple), path, "must be a list")
    rows = typing.cast(list[object], raw)
    return tuple(_read(expected, row, f"{path}[{index}]") for index, row in enumerate(rows))


def _read_table(expected: type, raw: object, path: str) -> object:
    _require(isinstance(raw, Mapping), path or "settings", "must be a table of settings")
    table = typing.cast(Mapping[str, object], raw)
    hints = typing.get_type_hints(expected)
    values: dict[str, object] = {}
    for setting in dataclasses.fields(expected):
        key = stored_key(setting)
        key_path = f"{path}.{key}" if path else key
        _require(key in table, key_path, "is missing")
        values[setting.name] = _read(hints[setting.name], table[key], key_path)
    return expected(**values)
