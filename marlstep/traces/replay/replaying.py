"""One replay from its settings to its report, virtual or on sockets."""

from __future__ import annotations

import os
import platform
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import uvloop

from marlstep.config.checking import check
from marlstep.emulators.machine import Machine, count_runs
from marlstep.traces.cutting import compress_time, factor_for_load, repeat
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Campaign
from marlstep.traces.replay.figures import Figures
from marlstep.traces.replay.loopback import Loopback, Settings
from marlstep.traces.replay.virtual import VirtualReplay
from marlstep.traces.retries import Retries
from marlstep.traces.schedule import Schedule


@dataclass(slots=True)
class Wanted:
    settings: Settings
    virtual: bool = False
    retries: Retries = Retries.NONE
    seed: int = 1
    load: float | None = None  # of the cores' capacity; None: the schedule's own pace
    for_us: int | None = None  # repeat or cut the schedule to this length


def rows_of(schedule: Schedule, wanted: Wanted) -> tuple[Iterator[PlannedRequest], float]:
    """The requests to be sent, and how much faster than the schedule's own time they go."""
    compiled = schedule.head["compiled"]
    period = float(compiled["seconds"])
    cores = (
        wanted.settings.config["settings"]["familyInfo"]["cpus"]
        * wanted.settings.speed
        * wanted.settings.nodes
    )
    factor = 1.0
    if wanted.load is not None:
        factor = factor_for_load(round(compiled["work_s"] * 1e6), period, cores, wanted.load)
    if wanted.for_us is None:
        return compress_time(schedule.rows(), factor), factor
    period_us = round(period / factor * 1e6)
    return repeat(lambda: compress_time(schedule.rows(), factor), period_us, wanted.for_us), factor


def replay(schedule: Schedule, wanted: Wanted) -> dict[str, Any]:
    """Run it; the report is plain values."""
    told = wanted.settings
    config = check({**told.config, "naming": None})
    figures = Figures()
    classes = {kind.name: kind for kind in config.settings.classes}
    campaign = Campaign(classes, wanted.retries, wanted.seed, figures, told.nodes)
    rows, factor = rows_of(schedule, wanted)
    if wanted.virtual:
        machines = [Machine(config.settings.cores, told.speed) for _ in range(told.nodes)]
        world = VirtualReplay(
            config.settings, wanted.seed, campaign, machines, config.gauge_names, told.call_us
        )
        world.run(rows)
        account = count_runs(machines, told.once).to_json()
        cpu_s: float | None = None
    else:
        run = Loopback(told, campaign)
        uvloop.run(run.run(rows))
        account, cpu_s = run.account, run.node_cpu_s
    counts = campaign.counts
    late_us = figures.lateness.get_value_at_percentile(99.0)
    report = figures.report()
    return {
        "service": report.pop("service"),
        "goal": report.pop("goal"),
        "by_class": report.pop("by_class"),
        "by_tenant": report.pop("by_tenant"),
        "sent": counts["sent"],
        "answered": counts["answered"],
        "lost": campaign.open + counts["late_answers"],
        "answered_twice": counts["twice"],
        "late_sends": int(figures.lateness.get_total_count() and late_us > told.late_us),
        "counts": late_us <= told.late_us,
        "work": counts["work"],
        "retries": counts["retries"],
        "refused": counts["refused"],
        "failed": counts["failed"],
        "expired": counts["expired"],
        **account,
        "node_cpu_s": cpu_s,
        "mode": "virtual" if wanted.virtual else f"loopback-{told.front}",
        "senders_retry": wanted.retries.value,
        "speed": told.speed,
        "nodes": told.nodes,
        "faster": factor,
        "load": wanted.load,
        "seed": wanted.seed,
        "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
        "schedule": {name: schedule.head.get(name) for name in ("format", "seed", "sources", "settings")},
        **report,
    }
