"""One replay from its settings to its report, virtual or on sockets."""

from __future__ import annotations

import os
import platform
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import uvloop

from marlstep.admission.settings import Settings as NodeSettings
from marlstep.config.checking import check
from marlstep.emulators.machine import Machine, count_runs
from marlstep.traces.cutting import compress_time, factor_for_load, repeat
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Campaign
from marlstep.traces.replay.figures import Figures
from marlstep.traces.replay.loopback import Loopback
from marlstep.traces.replay.settings import Settings
from marlstep.traces.replay.virtual import VirtualReplay
from marlstep.traces.retries import Retries
from marlstep.traces.schedule import Schedule

LATENESS_PERCENTILE = 99.0  # by which a run counts, or its senders fell behind


@dataclass(slots=True, frozen=True)
class ReplayPlan:
    """How a schedule is replayed.

    Attributes:
        settings: of the nodes and of what they stand on.
        is_virtual: on a clock that is moved by hand, without sockets.
        retries: how senders behave after a rejection.
        seed: names the attempts, and keys what the nodes draw.
        load: the offered work over the capacity of the cores; None for the schedule's own pace.
        for_us: the length to which the schedule is repeated or cut, in microseconds; None for its own.
    """

    settings: Settings
    is_virtual: bool = False
    retries: Retries = Retries.NONE
    seed: int = 1
    load: float | None = None
    for_us: int | None = None


@dataclass(slots=True, frozen=True)
class _Outcome:
    """What a replay measured beside the responses."""

    account: dict[str, int]  # of the runs, by the emulators
    node_cpu_s: float | None  # of all node processes; None where there are none


def scaled_requests(schedule: Schedule, plan: ReplayPlan) -> tuple[Iterator[PlannedRequest], float]:
    """Return the requests to be sent, and how many times as fast as the schedule they go."""
    compiled = schedule.head["compiled"]
    period_s = float(compiled["seconds"])
    factor = 1.0
    if plan.load is not None:
        work_us = round(compiled["work_s"] * 1e6)
        factor = factor_for_load(work_us, period_s, _cores(plan.settings), plan.load)
    if plan.for_us is None:
        return compress_time(schedule.rows(), factor), factor
    period_us = round(period_s / factor * 1e6)
    return repeat(lambda: compress_time(schedule.rows(), factor), period_us, plan.for_us), factor


def _cores(settings: Settings) -> float:
    """Return the capacity of all nodes, in cores of speed 1."""
    return settings.cores * settings.speed * settings.nodes


def replay(schedule: Schedule, plan: ReplayPlan) -> dict[str, Any]:
    """Run a replay, and return its report as JSON.

    Raises:
        ConfigError: the node's configuration is wrong.
        ReplayError: a process did not start, or ended too early.
        ScheduleError: the schedule is corrupt.
    """
    config = check({**plan.settings.config, "naming": None})
    classes = {request_class.name: request_class for request_class in config.settings.classes}
    campaign = Campaign(classes, plan.retries, plan.seed, Figures(), plan.settings.nodes)
    requests, factor = scaled_requests(schedule, plan)
    if plan.is_virtual:
        virtual = _new_virtual_replay(config.settings, config.gauge_names, plan, campaign)
        virtual.run(requests)
        machines = [node.machine for node in virtual.nodes]
        outcome = _Outcome(count_runs(machines, plan.settings.once).to_json(), None)
    else:
        outcome = _run_on_sockets(plan, campaign, requests)
    return _report(schedule, plan, campaign, outcome, factor)


def _new_virtual_replay(
    node_settings: NodeSettings, gauge_names: tuple[str, ...], plan: ReplayPlan, campaign: Campaign
) -> VirtualReplay:
    settings = plan.settings
    machines = [Machine(node_settings.cores, settings.speed) for _ in range(settings.nodes)]
    return VirtualReplay(node_settings, plan.seed, campaign, machines, gauge_names, settings.call_us)


def _run_on_sockets(plan: ReplayPlan, campaign: Campaign, requests: Iterator[PlannedRequest]) -> _Outcome:
    loopback = Loopback(plan.settings, campaign)
    uvloop.run(loopback.run(requests))
    return _Outcome(loopback.processes.account, loopback.processes.node_cpu_s)


def _report(
    schedule: Schedule, plan: ReplayPlan, campaign: Campaign, outcome: _Outcome, factor: float
) -> dict[str, Any]:
    settings, counts, lateness = plan.settings, campaign.counts, campaign.figures.lateness
    late_us = lateness.get_value_at_percentile(LATENESS_PERCENTILE)
    figures = campaign.figures.report()
    return {
        "service": figures.pop("service"),
        "goal": figures.pop("goal"),
        "by_class": figures.pop("by_class"),
        "by_tenant": figures.pop("by_tenant"),
        "sent": counts["sent"],
        "answered": counts["answered"],
        "lost": campaign.open + counts["late_answers"],
        "answered_twice": counts["twice"],
        "late_sends": int(lateness.get_total_count() and late_us > settings.late_us),
        "counts": late_us <= settings.late_us,
        "work": counts["work"],
        "retries": counts["retries"],
        "refused": counts["refused"],
        "failed": counts["failed"],
        "expired": counts["expired"],
        **outcome.account,
        "node_cpu_s": outcome.node_cpu_s,
        "mode": "virtual" if plan.is_virtual else f"loopback-{settings.front}",
        "senders_retry": plan.retries.value,
        "speed": settings.speed,
        "nodes": settings.nodes,
        "faster": factor,
        "load": plan.load,
        "seed": plan.seed,
        "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
        "schedule": {name: schedule.head.get(name) for name in ("format", "seed", "sources", "settings")},
        **figures,
    }
