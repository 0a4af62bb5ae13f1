"""Settings of one server's admission controller, as the simulator or the platform gives them at its start.

Durations are whole microseconds, sizes are kilobytes. The names of the fields are the keys of the stored settings,
and stand in the messages of errors.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from collections.abc import Mapping
from dataclasses import dataclass

from marlstep.errors import MarlstepError


class InvalidSettingError(MarlstepError, ValueError):
    """A setting is missing, of the wrong type or impossible; the message starts with its path."""

    def __init__(self, path: str, problem: str) -> None:
        """Name the setting by its path, such as `classes[0].deadline_us`."""
        super().__init__(f"{path} {problem}")


class Effect(enum.StrEnum):
    """Whether a request of a class may run again."""

    SAFE = "safe"  # idempotent
    KEYED = "keyed"  # idempotent within its window, by an idempotency key
    UNSAFE = "unsafe"  # at most once


class PreemptionMode(enum.StrEnum):
    """What becomes of a run that is preempted."""

    NONE = "none"  # runs can't be preempted
    DROP = "drop"  # its work is lost, the request is queued again
    PAUSE = "pause"  # it keeps its progress and its memory


class LoadSignal(enum.StrEnum):
    """How callers read the value that a server advertises."""

    NONE = "none"
    LEVEL = "level"  # requests ranked below it stay away
    CREDIT = "credit"  # at most so many outstanding for each caller
    WEIGHT = "weight"  # the chance that a caller does not skip this server


class Downstream(enum.StrEnum):
    """What the downstream calls of a server reach."""

    NONE = "none"
    SHARED = "shared"  # one dependency common to all servers of the tier
    TIER = "tier"  # another tier of servers


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One request class."""

    name: str
    effect: Effect
    aim_us: int  # latency objective, from the request's arrival
    deadline_us: int  # from the arrival; no answer counts after it
    window_us: int  # for which an idempotency key is kept
    worth: float  # priority weight
    late_share: float  # of the priority weight, for an answer after the latency objective
    calls: bool
    skip_worth: float  # share of the priority weight that is left when a call is skipped


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """One tenant and its quota over all servers of the tier."""

    name: str
    portion: float
    allowance_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What one server is told at its start."""

    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    over_share_worth: float  # share of the priority weight of a request beyond its tenant's quota
    cores: int
    memory_kb: float
    run_factor: float  # memory of a running or paused request, as a multiple of a queued one
    key_kb: float  # memory of a kept idempotency key
    fresh_us: int
    peers: int  # servers of this tier, this one included
    callers: int
    cold: bool  # the server warms up from its start
    cold_share: float
    warm_after_us: int
    fall_multiple: float  # concurrency that the server survives, as a multiple of its cores
    fall_us: int
    drain_grace_us: int
    answer_slack_us: int
    tick_us: int
    halt: PreemptionMode
    say: LoadSignal
    heeded_us: int  # for which callers heed an advertised value
    below: Downstream
    calls_out: float  # mean number of calls this server may have in the dependency's hands; 0: not bounded
    calls_over_us: int
    linger_us: int  # for which an abandoned call stays in the dependency's hands
    idle_us: int  # after which an idle connection is closed; 0: never
    list_follows_health: bool
    deep_checks: bool
    retry_after: bool
    max_retry_after_us: int
    marks_retry: bool

    @classmethod
    def from_mapping(cls, raw: Mapping[str, object]) -> Settings:
        """Build from plain values.

        Raises:
            InvalidSettingError: a value is missing, of the wrong type or impossible.
        """
        return typing.cast(Settings, _read(cls, raw, ""))

    def __post_init__(self) -> None:
        """Check the values, whoever gave them."""
        _require(self.cores >= 1, "cores", "must be at least 1")
        _require(len(self.classes) > 0, "classes", "must name at least one class")
        _require(self.memory_kb > 0, "memory_kb", "must be above 0")
        _require(self.run_factor >= 1, "run_factor", "must be at least 1")
        _require(self.fall_multiple >= 1, "fall_multiple", "must be at least 1")
        _require(0 <= self.cold_share <= 1, "cold_share", "must lie between 0 and 1")
        _require(self.tick_us >= 1, "tick_us", "must be at least 1")
        _require(self.peers >= 1, "peers", "must be at least 1")
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
            _require(request_class.skip_worth <= 1, f"{path}.skip_worth", "must be at most 1")
            _require(request_class.late_share <= 1, f"{path}.late_share", "must be at most 1")


def _require(good: bool, path: str, problem: str) -> None:
    if not good:
        raise InvalidSettingError(path, problem)


def _require_not_negative(item: Settings | ClassSettings | TenantSettings, path: str) -> None:
    for part in dataclasses.fields(item):
        value = getattr(item, part.name)
        if isinstance(value, int | float):
            _require(0 <= value < float("inf"), path + part.name, "must be a finite number, 0 or more")


def _read(wanted: object, raw: object, path: str) -> object:
    """Turn a plain value into the wanted type, or say which path is wrong."""
    if isinstance(wanted, type) and dataclasses.is_dataclass(wanted):
        return _read_table(wanted, raw, path)
    if typing.get_origin(wanted) is tuple:
        _require(isinstance(raw, list | tuple), path, "must be a list")
        rows = typing.cast(list[object], raw)
        return tuple(
            _read(typing.get_args(wanted)[0], row, f"{path}[{index}]") for index, row in enumerate(rows)
        )
    if isinstance(wanted, type) and issubclass(wanted, enum.StrEnum):
        _require(raw in list(wanted), path, f"must be one of {', '.join(wanted)}")
        return wanted(typing.cast(str, raw))
    plain = typing.cast(type, wanted)
    accepted: type | types.UnionType = (int | float) if plain is float else plain
    good = isinstance(raw, accepted) and (plain is bool or not isinstance(raw, bool))
    _require(good, path, f"must be of type {plain.__name__}")
    return raw


def _read_table(wanted: type, raw: object, path: str) -> object:
    _require(isinstance(raw, Mapping), path or "settings", "must be a table of settings")
    table = typing.cast(Mapping[str, object], raw)
    hints = typing.get_type_hints(wanted)
    values: dict[str, object] = {}
    for part in dataclasses.fields(wanted):
        inner = f"{path}.{part.name}" if path else part.name
        _require(part.name in table, inner, "is missing")
        values[part.name] = _read(hints[part.name], table[part.name], inner)
    return wanted(**values)
