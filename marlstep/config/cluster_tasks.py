"""Reads `[fleet.tasks]`: the scheduled tasks of the cluster; each run takes place on one node."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from marlstep.config.cluster_settings import TaskConfig
from marlstep.config.readers import ConfigError, Table, check_known_keys, read_int, read_table, read_word
from marlstep.scheduled_tasks.runner import TaskPlan
from marlstep.scheduled_tasks.schedule import MissedRunPolicy, Schedule
from marlstep.units import MILLISECOND, SECOND, ZERO

KEYS = ("every_ms", "at", "class", "longest_ms", "missed", "vars")
MAX_NAME_LENGTH = 100  # characters
DAY = timedelta(days=1)


def read_task(
    rows: Table, name: str, idempotent_by_class: Mapping[str, bool], lease_term: timedelta
) -> TaskConfig:
    """Read one task.

    Args:
        rows: the table `[fleet.tasks]`.
        name: the task's name, its key in `rows`.
        idempotent_by_class: for each request class, whether its requests are safe to repeat.
        lease_term: duration of the lease under which the task runs; the timeout of a run must be at most half of it.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value.
    """
    path = f"fleet.tasks.{name}"
    row = read_table(rows, name, path)
    check_known_keys(row, path, KEYS)
    if len(name) > MAX_NAME_LENGTH or not name.isprintable():
        raise ConfigError.found(
            path, f"a task's name must be printable and have at most {MAX_NAME_LENGTH} characters"
        )
    request_class = _read_class(row, path, idempotent_by_class)
    interval, offset = _read_times(row, path)
    timeout = _read_timeout(row, path, lease_term)
    schedule = Schedule(interval, offset, _read_missed(row, path))
    variables = _read_variables(row, path)
    return TaskConfig(
        TaskPlan(name, schedule, request_class, idempotent_by_class[request_class], timeout), variables
    )


def _read_class(row: Table, path: str, idempotent_by_class: Mapping[str, bool]) -> str:
    request_class = read_word(row, "class", f"{path}.class")
    if request_class not in idempotent_by_class:
        raise ConfigError.unmet(f"{path}.class", f"must be one of {', '.join(sorted(idempotent_by_class))}")
    return request_class


def _read_times(row: Table, path: str) -> tuple[timedelta, timedelta]:
    """Return the interval between two runs and their offset: the UTC time of day for `at`, zero for `every_ms`."""
    if ("every_ms" in row) == ("at" in row):
        raise ConfigError.unmet(path, "must have either every_ms or at")
    if "at" in row:
        return DAY, _time_of_day(read_word(row, "at", f"{path}.at"), f"{path}.at")
    return read_int(row, "every_ms", f"{path}.every_ms", 100, 86_400_000) * MILLISECOND, ZERO


def _time_of_day(text: str, path: str) -> timedelta:
    hours, _, minutes = text.partition(":")
    if not (hours.isdigit() and minutes.isdigit() and int(hours) < 24 and int(minutes) < 60):
        raise ConfigError.unmet(path, "must be a time of day in UTC, such as 03:30")
    return int(hours) * 3_600 * SECOND + int(minutes) * 60 * SECOND


def _read_timeout(row: Table, path: str, lease_term: timedelta) -> timedelta:
    timeout = read_int(row, "longest_ms", f"{path}.longest_ms", 10, 600_000, 1_000) * MILLISECOND
    if timeout > lease_term / 2:
        raise ConfigError.unmet(
            f"{path}.longest_ms", "must be at most half of fleet.term_ms: a run must end within its lease"
        )
    return timeout


def _read_missed(row: Table, path: str) -> MissedRunPolicy:
    try:
        return MissedRunPolicy(read_word(row, "missed", f"{path}.missed", "skip"))
    except ValueError as error:
        raise ConfigError.unmet(f"{path}.missed", "must be skip or once") from error


def _read_variables(row: Table, path: str) -> dict[str, str]:
    variables: dict[str, str] = {}
    for key, value in read_table(row, "vars", f"{path}.vars", {}).items():
        if not isinstance(value, str):
            raise ConfigError.unmet(f"{path}.vars.{key}", "must be text")
        variables[key] = value
    return variables
