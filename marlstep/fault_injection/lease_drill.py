"""The lease drill on processes: runs a fault plan and judges the effects that the task server recorded."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.effects import (
    Effect,
    overlapping_effects,
    repeated_runs,
    shared_tokens,
    stale_tokens_accepted,
)
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.process_cluster import ProcessCluster, Settings

WELL_AGAIN_S = 5.0  # the cluster counts as recovered if a task had an effect this recently
# The longest wait for a recovery after the end of a plan. The recovery time depends on how busy the machine is and is
# only reported; the verdict depends on whether the cluster recovers at all.
PATIENCE_S = 40.0


async def run(plan: Plan, settings: Settings) -> dict[str, Any]:
    """Run one plan on processes and return the report, whose `verdict` is `held` or `broken`.

    Raises:
        ProcessClusterError: The cluster could not be started.
        OSError: A port, a file or a process could not be opened.
    """
    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        async with ProcessCluster(plan, settings, Path(folder)) as cluster:
            began = clock_us()
            await cluster.run()
            planned = clock_us()
            ended = await well_again(cluster, planned)
            statuses = await cluster.statuses()
            unsafe = frozenset(
                name for name, task in settings.tasks.items() if task["class"] == "setpoint-cmd"
            )
            report = judge(plan, list(cluster.effect_recorder.effects), unsafe, ended)
            report["struck"] = dict(cluster.counts)
            report["seconds"] = round((planned - began) / 1e6, 2)
            report["well_again_s"] = round(max(0, ended - planned) / 1e6, 2)
            report["unexpected"] = cluster.unexpected
            report["elders_gone_s"] = [round(one, 2) for one in cluster.upgrade_durations_s]
            report["changes_of_holder"] = _changes(cluster.effect_recorder.effects)
            report["nodes"] = {name: _short(told) for name, told in statuses.items()}
    if report["unexpected"]:
        report["verdict"] = "broken"
    return report


async def well_again(cluster: ProcessCluster, planned_us: int) -> int:
    """Wait for a task effect if none happened near the end of the plan.

    Returns:
        The time of the recovery, but at least `planned_us`, or the time at which the wait ended without one; in
        microseconds.
    """
    while True:
        now = clock_us()
        last = max(
            (
                effect.began_us
                for effect in cluster.effect_recorder.effects
                if effect.accepted and not effect.fence
            ),
            default=0,
        )
        if last > planned_us - WELL_AGAIN_S * 1e6:
            return max(planned_us, last)
        if now > planned_us + PATIENCE_S * 1e6:
            return now
        await asyncio.sleep(0.1)


def judge(plan: Plan, effects: list[Effect], unsafe: frozenset[str], ended_us: int) -> dict[str, Any]:
    """Check the recorded effects and return the part of the report that is derived from them.

    Args:
        plan: The plan that was run.
        effects: All effects that the task server recorded.
        unsafe: The tasks that must not be repeated.
        ended_us: The end of the drill on the clock of the effects, in microseconds.
    """
    over = [[asdict(one), asdict(other)] for one, other in overlapping_effects(effects)]
    late = [[asdict(one), asdict(other)] for one, other in stale_tokens_accepted(effects)]
    shared = [[asdict(one), asdict(other)] for one, other in shared_tokens(effects)]
    twice = [[asdict(one), asdict(other)] for one, other in repeated_runs(effects, unsafe)]
    accepted = [effect for effect in effects if effect.accepted and not effect.fence]
    last = max((effect.began_us for effect in accepted), default=0)
    quiet = last < ended_us - WELL_AGAIN_S * 1e6
    happened = bool(accepted) and (bool(plan.faults) or plan.length_ms > 0)
    held = happened and not (over or late or shared or twice or quiet)
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "acts": len(accepted),
        "refused_late": sum(not effect.accepted for effect in effects),
        "fences": sum(effect.fence for effect in effects),
        "overlaps": over,
        "late_accepted": late,
        "shared_tokens": shared,
        "run_twice": twice,
        "quiet_at_the_end": quiet,
        "verdict": "held" if held else "broken",
    }


def _changes(effects: list[Effect]) -> int:
    holder: dict[str, int] = {}
    changes = 0
    for effect in effects:
        if effect.accepted and not effect.fence:
            changes += holder.get(effect.task, effect.token) != effect.token
            holder[effect.task] = effect.token
    return changes


def _short(told: dict[str, Any]) -> dict[str, Any]:
    voter = told.get("voter") or {}
    return {
        "fault": told.get("fault"),
        "role": voter.get("role"),
        "identity": voter.get("identity"),
        "lines": told.get("lines"),
        "counts": told.get("counts"),
    }
