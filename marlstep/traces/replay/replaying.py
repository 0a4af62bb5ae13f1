"""Runs a replay, virtual or on sockets, and builds its report."""

from __future__ import annotations

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
from marlstep.traces.replay.figures import ServiceMetrics
from marlstep.traces.replay.loopback import Loopback
from marlstep.traces.replay.machine_info import MachineInfo
from marlstep.traces.replay.settings import ReplayError, Settings
from marlstep.traces.replay.virtual import VirtualReplay
from marlstep.traces.retries import Retries
from marlstep.traces.schedule import Schedule

TIMED_OUT = "a process of the replay did not get ready or exit in time"
LATENESS_PERCENTILE = 99.0  # percentile of the sending delay that decides whether a run is valid


@dataclass(slots=True, frozen=True)
class ReplayPlan:
    """How a schedule is replayed.

    Attributes:
        settings: Settings of the nodes and the emulators.
        is_virtual: Whether to replay on a simulated clock, without sockets.
        retries: When senders retry a request.
        seed: Seed of the ids of attempts and of the random numbers of the nodes.
        load: Ratio of the offered work to the capacity of the cores; None for the schedule's own rate.
        for_us: Length to which the schedule is repeated or cut, in microseconds; None for its own length.
    """

    settings: Settings
    is_virtual: bool = False
    retries: Retries = Retries.NONE
    seed: int = 1
    load: float | None = None
    for_us: int | None = None


@dataclass(slots=True, frozen=True)
class _Measurements:
    """Measurements of a replay other than its responses."""

    account: dict[str, int]  # counts of runs by the emulators
    node_cpu_s: float | None  # CPU time of all node processes, in seconds; None for a virtual replay


def scaled_requests(schedule: Schedule, plan: ReplayPlan) -> tuple[Iterator[PlannedRequest], float]:
    """Return the requests to be sent, and the factor by which the schedule is sped up."""
    compiled = schedule.header["compiled"]
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
    """Return the total capacity of all nodes, in cores of speed 1."""
    return settings.cores * settings.speed * settings.nodes


def replay(schedule: Schedule, plan: ReplayPlan, machine: MachineInfo) -> dict[str, Any]:
    """Run a replay, and return its report as a JSON object.

    Args:
        schedule: What is sent, and when.
        plan: How it is replayed.
        machine: The machine that runs the replay; only the report uses it.

    Raises:
        ConfigError: The node's configuration is invalid.
        ReplayError: A process did not start, get ready or exit in time, or exited before the first request.
        ScheduleError: The schedule is corrupt.
    """
    config = check({**plan.settings.config, "naming": None})
    classes = {request_class.name: request_class for request_class in config.settings.classes}
    campaign = Campaign(classes, plan.retries, plan.seed, ServiceMetrics(), plan.settings.nodes)
    requests, factor = scaled_requests(schedule, plan)
    if plan.is_virtual:
        virtual = _new_virtual_replay(config.settings, config.gauge_names, plan, campaign)
        virtual.run(requests)
        machines = [node.machine for node in virtual.nodes]
        measurements = _Measurements(count_runs(machines, plan.settings.once).to_json(), None)
    else:
        measurements = _run_on_sockets(plan, campaign, requests)
    return _report(schedule, plan, campaign, measurements, factor, machine)


def _new_virtual_replay(
    node_settings: NodeSettings, gauge_names: tuple[str, ...], plan: ReplayPlan, campaign: Campaign
) -> VirtualReplay:
    settings = plan.settings
    machines = [Machine(node_settings.cores, settings.speed) for _ in range(settings.nodes)]
    return VirtualReplay(node_settings, plan.seed, campaign, machines, gauge_names, settings.call_us)


def _run_on_sockets(
    plan: ReplayPlan, campaign: Campaign, requests: Iterator[PlannedRequest]
) -> _Measurements:
    loopback = Loopback(plan.settings, campaign)
    try:
        uvloop.run(loopback.run(requests))
    except TimeoutError as error:
        raise ReplayError(TIMED_OUT) from error
    return _Measurements(loopback.processes.account, loopback.processes.node_cpu_s)


def _report(
    schedule: Schedule,
    plan: ReplayPlan,
    campaign: Campaign,
    measurements: _Measurements,
    factor: float,
    machine: MachineInfo,
) -> dict[str, Any]:
    settings, counts, lateness = plan.settings, campaign.counts, campaign.metrics.lateness
    late_us = lateness.get_value_at_percentile(LATENESS_PERCENTILE)
    metrics = campaign.metrics.report()
    return {
        "service": metrics.pop("service"),
        "goal": metrics.pop("goal"),
        "by_class": metrics.pop("by_class"),
        "by_tenant": metrics.pop("by_tenant"),
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
        **measurements.account,
        "node_cpu_s": measurements.node_cpu_s,
        "mode": "virtual" if plan.is_virtual else f"loopback-{settings.front}",
        "senders_retry": plan.retries.value,
        "speed": settings.speed,
        "nodes": settings.nodes,
        "faster": factor,
        "load": plan.load,
        "seed": plan.seed,
        "machine": machine.to_json(),
        "schedule": {name: schedule.header.get(name) for name in ("format", "seed", "sources", "settings")},
        **metrics,
    }
