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

RECOVERY_WINDOW_S = 5.0  # the cluster counts as recovered if a task had an effect this recently
# The longest wait for a recovery after the end of a plan. The recovery time depends on how busy the machine is and is
# only reported; the verdict depends on whether the cluster recovers at all.
MAX_RECOVERY_S = 40.0


async def run(plan: Plan, settings: Settings) -> dict[str, Any]:
    """Run one plan on processes and return the report, whose `verdict` is `held` or `broken`.

    Raises:
        ProcessClusterError: The cluster could not be started.
        OSError: A port, a file or a process could not be opened.
    """
    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        async with ProcessCluster(plan, settings, Path(folder)) as cluster:
            began_us = clock_us()
            await cluster.run()
            plan_ended_us = clock_us()
            ended_us = await wait_for_recovery(cluster, plan_ended_us)
            statuses = await cluster.statuses()
            non_repeatable_tasks = frozenset(
                name for name, task in settings.tasks.items() if task["class"] == "setpoint-cmd"
            )
            report = judge(plan, list(cluster.effect_recorder.effects), non_repeatable_tasks, ended_us)
            report["struck"] = dict(cluster.counts)
            report["seconds"] = round((plan_ended_us - began_us) / 1e6, 2)
            report["well_again_s"] = round(max(0, ended_us - plan_ended_us) / 1e6, 2)
            report["unexpected"] = cluster.unexpected
            report["elders_gone_s"] = [round(duration_s, 2) for duration_s in cluster.upgrade_durations_s]
            report["changes_of_holder"] = _count_holder_changes(cluster.effect_recorder.effects)
            report["nodes"] = {name: _summarize_status(status) for name, status in statuses.items()}
    if report["unexpected"]:
        report["verdict"] = "broken"
    return report


async def wait_for_recovery(cluster: ProcessCluster, plan_ended_us: int) -> int:
    """Wait for a task effect if none happened near the end of the plan.

    Returns:
        The time of the recovery, but at least `plan_ended_us`, or the time at which the wait ended without one; in
        microseconds.
    """
    while True:
        now_us = clock_us()
        last_us = max(
            (
                effect.began_us
                for effect in cluster.effect_recorder.effects
                if effect.accepted and not effect.fence
            ),
            default=0,
        )
        if last_us > plan_ended_us - RECOVERY_WINDOW_S * 1e6:
            return max(plan_ended_us, last_us)
        if now_us > plan_ended_us + MAX_RECOVERY_S * 1e6:
            return now_us
        await asyncio.sleep(0.1)


def judge(
    plan: Plan, effects: list[Effect], non_repeatable_tasks: frozenset[str], ended_us: int
) -> dict[str, Any]:
    """Check the recorded effects and return the part of the report that is derived from them.

    Args:
        plan: The plan that was run.
        effects: All effects that the task server recorded.
        non_repeatable_tasks: The tasks that must not be repeated.
        ended_us: The end of the drill on the clock of the effects, in microseconds.
    """
    overlapping = [[asdict(earlier), asdict(later)] for earlier, later in overlapping_effects(effects)]
    stale = [[asdict(earlier), asdict(later)] for earlier, later in stale_tokens_accepted(effects)]
    shared = [[asdict(earlier), asdict(later)] for earlier, later in shared_tokens(effects)]
    repeated = [
        [asdict(earlier), asdict(later)] for earlier, later in repeated_runs(effects, non_repeatable_tasks)
    ]
    accepted = [effect for effect in effects if effect.accepted and not effect.fence]
    last_us = max((effect.began_us for effect in accepted), default=0)
    is_quiet = last_us < ended_us - RECOVERY_WINDOW_S * 1e6
    had_effects = bool(accepted) and (bool(plan.faults) or plan.length_ms > 0)
    held = had_effects and not (overlapping or stale or shared or repeated or is_quiet)
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "acts": len(accepted),
        "refused_late": sum(not effect.accepted for effect in effects),
        "fences": sum(effect.fence for effect in effects),
        "overlaps": overlapping,
        "late_accepted": stale,
        "shared_tokens": shared,
        "run_twice": repeated,
        "quiet_at_the_end": is_quiet,
        "verdict": "held" if held else "broken",
    }


def _count_holder_changes(effects: list[Effect]) -> int:
    holder: dict[str, int] = {}
    changes = 0
    for effect in effects:
        if effect.accepted and not effect.fence:
            changes += holder.get(effect.task, effect.token) != effect.token
            holder[effect.task] = effect.token
    return changes


def _summarize_status(status: dict[str, Any]) -> dict[str, Any]:
    voter = status.get("voter") or {}
    return {
        "fault": status.get("fault"),
        "role": voter.get("role"),
        "identity": voter.get("identity"),
        "lines": status.get("lines"),
        "counts": status.get("counts"),
    }
