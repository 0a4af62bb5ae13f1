"""The drill of leases: processes or the virtual network, a plan of faults, and a verdict on what the witnesses saw."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

from marlstep.fault_injection.acts import Act, late_accepted, overlaps, run_twice, shared_tokens
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.rig import Rig, Settings
from marlstep.fault_injection.witness import clock_us

WELL_AGAIN_S = 5.0  # before the end of a plan somebody must have acted, or else
PATIENCE_S = 40.0  # after it: how fast a busy machine heals is measured, and whether it heals is judged


async def run(plan: Plan, settings: Settings) -> dict[str, Any]:
    """One plan on processes; the report, whose `verdict` is `held` or `broken`. Raises RigError, OSError."""
    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        async with Rig(plan, settings, Path(folder)) as rig:
            began = clock_us()
            await rig.run()
            planned = clock_us()
            ended = await well_again(rig, planned)
            statuses = await rig.statuses()
            unsafe = frozenset(
                name for name, task in settings.tasks.items() if task["class"] == "setpoint-cmd"
            )
            report = judge(plan, list(rig.witness.acts), unsafe, ended)
            report["struck"] = dict(rig.counts)
            report["seconds"] = round((planned - began) / 1e6, 2)
            report["well_again_s"] = round(max(0, ended - planned) / 1e6, 2)
            report["unexpected"] = rig.unexpected
            report["elders_gone_s"] = [round(one, 2) for one in rig.upgrades]
            report["changes_of_holder"] = _changes(rig.witness.acts)
            report["nodes"] = {name: _short(told) for name, told in statuses.items()}
    if report["unexpected"]:
        report["verdict"] = "broken"
    return report


async def well_again(rig: Rig, planned_us: int) -> int:
    """Wait until somebody acts, where nobody did towards the end; gives the moment, or the end of all patience."""
    while True:
        now = clock_us()
        last = max((act.began_us for act in rig.witness.acts if act.accepted and not act.fence), default=0)
        if last > planned_us - WELL_AGAIN_S * 1e6:
            return max(planned_us, last)
        if now > planned_us + PATIENCE_S * 1e6:
            return now
        await asyncio.sleep(0.1)


def judge(plan: Plan, acts: list[Act], unsafe: frozenset[str], ended_us: int) -> dict[str, Any]:
    """What the record of the witnesses proves."""
    over = [[asdict(one), asdict(other)] for one, other in overlaps(acts)]
    late = [[asdict(one), asdict(other)] for one, other in late_accepted(acts)]
    shared = [[asdict(one), asdict(other)] for one, other in shared_tokens(acts)]
    twice = [[asdict(one), asdict(other)] for one, other in run_twice(acts, unsafe)]
    accepted = [act for act in acts if act.accepted and not act.fence]
    last = max((act.began_us for act in accepted), default=0)
    quiet = last < ended_us - WELL_AGAIN_S * 1e6
    happened = bool(accepted) and (bool(plan.faults) or plan.length_ms > 0)
    held = happened and not (over or late or shared or twice or quiet)
    return {
        "seed": plan.seed,
        "plan": plan.write(),
        "faults": len(plan.faults),
        "acts": len(accepted),
        "refused_late": sum(not act.accepted for act in acts),
        "fences": sum(act.fence for act in acts),
        "overlaps": over,
        "late_accepted": late,
        "shared_tokens": shared,
        "run_twice": twice,
        "quiet_at_the_end": quiet,
        "verdict": "held" if held else "broken",
    }


def _changes(acts: list[Act]) -> int:
    holder: dict[str, int] = {}
    changes = 0
    for act in acts:
        if act.accepted and not act.fence:
            changes += holder.get(act.task, act.token) != act.token
            holder[act.task] = act.token
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
