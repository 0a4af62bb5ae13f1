"""Default mappings by format; docs/traces.md gives the reasons."""

from __future__ import annotations

from collections.abc import Mapping

from marlstep.traces.mapping import HintScale, MappingSettings, Rule, TenantMode, WorkRange

HISTORY, SCHEDULE, SETPOINT = "temp-history", "schedule-save", "setpoint-cmd"
CLASS_WORK: Mapping[str, WorkRange] = {
    HISTORY: WorkRange(280_000, 500_000),
    SCHEDULE: WorkRange(210_000, 370_000),
    SETPOINT: WorkRange(120_000, 210_000),
}
TENANT_NAMES = ("ain-sebaa", "sidi-maarouf", "bouskoura")


def _by_category(setpoint: str, schedule: str) -> tuple[Rule, ...]:
    """Return rules for two space-separated lists of categories; other categories go to the default class HISTORY."""
    return (
        Rule(SETPOINT, frozenset(setpoint.split())),
        Rule(SCHEDULE, frozenset(schedule.split())),
    )


def _mapping(rules: tuple[Rule, ...], low_hint: float, high_hint: float) -> MappingSettings:
    return MappingSettings(
        rules, CLASS_WORK, HISTORY, HintScale(low_hint, high_hint), TenantMode.BUCKETS, TENANT_NAMES
    )


BY_HINT = (Rule(SETPOINT, max_hint=0.1), Rule(SCHEDULE, max_hint=1.0))
DEFAULT_MAPPINGS: Mapping[str, MappingSettings] = {
    "google-2011": _mapping(_by_category("2 3", "1"), 0.001, 0.25),
    "google-2019": _mapping(_by_category("2 3", "1"), 0.0001, 0.1),
    "alibaba-2018-task": _mapping(_by_category("1 3 5 7 9 11", "2 4 6 8 10 12"), 1, 1000),
    "alibaba-2018-instance": _mapping(_by_category("1 3 5 7 9 11", "2 4 6 8 10 12"), 1, 1000),
    "alibaba-2021-calls": _mapping(_by_category("http", "mq db"), 0.5, 500),
    "azure-2019": _mapping(_by_category("http", "queue event storage orchestration"), 0, 0),
    "azure-2021": _mapping(BY_HINT, 0.01, 60),
    "generic": _mapping((), 0, 0),
}
