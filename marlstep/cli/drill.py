"""`marlstep drill`: faults between processes, or between the same cores on a virtual network. `marlstep explore`."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields, replace
from functools import wraps
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from marlstep.cli.spans import SPAN_TYPE
from marlstep.fault_injection.errors import InvalidPlanError
from marlstep.fault_injection.mutations import (
    DOCUMENT_MUTATIONS,
    LEASE_MUTATIONS,
    MEMBERSHIP_MUTATIONS,
    Mutation,
)
from marlstep.fault_injection.plan import DOCUMENT_STEPS, STEPS, Plan, PlanSettings, draw, read_plan

if TYPE_CHECKING:
    from marlstep.fault_injection.process_cluster import Settings

HELD, BROKEN, WRONG = 0, 1, 2
MOST_JOBS = 16
RULES_STARTS = ("strict", "plain", "lapsed", "lapsed plain", "three")


def plan_from(path: str) -> Plan:
    try:
        told = json.loads(Path(path).read_text("utf-8"))
        return read_plan(told.get("plan", told) if isinstance(told, dict) else told)
    except (OSError, ValueError, InvalidPlanError) as fault:
        raise click.BadParameter(f"{path}: {fault}") from fault


@dataclass(slots=True, frozen=True)
class Drawn:
    """What every drill is told: which plans, and where they run."""

    nodes: int
    voters: str
    seed: int
    seeds: int
    length_us: int
    path: str | None
    calm: bool
    virtual: bool
    jobs: int | None
    config: str
    logs: str | None
    as_json: bool

    def plans(
        self, breakage: Mutation | None, least_ms: int, shape: Callable[[int, int, int], PlanSettings]
    ) -> list[Plan]:
        """`shape` is given nodes, voters and milliseconds. Raises click.UsageError for what does not go together."""
        if breakage is not None and not self.virtual and not breakage.runs_on_processes:
            raise click.UsageError(f"--broken {breakage.name} needs --virtual")
        if breakage is not None and self.virtual and breakage.ignores_capabilities:
            raise click.UsageError(f"--broken {breakage.name} is of processes, not of the virtual network")
        if int(self.voters) > self.nodes:
            raise click.UsageError("--voters can't be more than --nodes")
        span = self.length_us // 1000
        if span < least_ms:
            raise click.BadParameter(f"a plan takes at least {least_ms // 1000}s", param_hint="--for")
        if self.path is not None:
            plans = [plan_from(self.path)]
        else:
            drawn = shape(self.nodes, int(self.voters), span)
            if breakage is not None and self.virtual:
                drawn = breakage.shape
            plans = [draw(one, drawn) for one in range(self.seed, self.seed + self.seeds)]
        if self.calm:
            plans = [Plan(one.seed, one.nodes, one.voters, one.length_ms, one.rates, ()) for one in plans]
        return plans

    @property
    def cores(self) -> int:
        return self.jobs or os.cpu_count() or 1

    def works(self, plans: list[Plan], broken: str) -> list[Work]:
        """For processes."""
        return [
            (plan, self.config, str(Path(self.logs) / f"seed-{plan.seed}") if self.logs else "", broken)
            for plan in plans
        ]

    def end(self, report: dict[str, Any]) -> NoReturn:
        click.echo(json.dumps(report) if self.as_json else text_of(report))
        click.get_current_context().exit({"held": HELD, "broken": BROKEN}.get(report["verdict"], WRONG))


Work = tuple[Plan, str, str, str]  # the platform's file, where logs go, the breakage


def drawn(function: Any) -> Any:
    """The options of every drill, given to the command as one `Drawn`."""

    @wraps(function)
    def command(**told: Any) -> Any:
        return function(Drawn(**{one.name: told.pop(one.name) for one in fields(Drawn)}), **told)

    file = click.Path(exists=True, dir_okay=False)
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option("--logs", type=click.Path(file_okay=False), help="Keep the nodes' logs there."),
        click.option("--config", type=file, default="deploy/node.json", show_default=True),
        click.option("--jobs", type=click.IntRange(1, MOST_JOBS), default=None, help="Plans at once."),
        click.option("--virtual", is_flag=True, help="On the virtual network, without processes."),
        click.option("--calm", is_flag=True, help="No faults at all."),
        click.option("--plan", "path", type=file, help="Replay a plan as printed."),
        click.option(
            "--for", "length_us", type=SPAN_TYPE, default="20s", show_default=True, help="Of each plan."
        ),
        click.option("--seeds", type=click.IntRange(1, 1_000_000), default=1, help="How many plans."),
        click.option("--seed", type=int, default=1, help="Of the plan, or the first of --seeds."),
        click.option("--voters", type=click.Choice(["3", "5", "7"]), default="3", show_default=True),
        click.option("--nodes", type=click.IntRange(3, 40), default=5, show_default=True),
    ):
        command = option(command)
    return command


@click.group()
def group() -> None:
    """Prove what a fleet promises, by breaking what it stands on."""


@group.command()
@drawn
@click.option("--beyond", is_flag=True, help="One clock errs by 20%, beyond what is guarded against.")
@click.option("--broken", type=click.Choice(sorted(LEASE_MUTATIONS)), help="A deliberate breakage.")
def leases(told: Drawn, beyond: bool, broken: str | None) -> None:
    """Two holders never act at once: processes that are killed, stopped, cut off and slowed.

    \b
    Exit codes: 0 all held, 1 a property broke, 2 wrong use or the drill could not be run.
    Examples:
      marlstep drill leases --nodes 5 --seed 7 --for 20s --json
      marlstep drill leases --virtual --seeds 1000
      marlstep drill leases --virtual --broken vote-not-synced --seeds 300
    """
    plans = told.plans(
        LEASE_MUTATIONS.get(broken or ""),
        4_000,
        lambda nodes, voters, ms: PlanSettings(nodes, voters, ms, exceeds_drift=beyond),
    )
    if told.virtual:
        told.end(on_virtual(plans, broken or "", told.cores))
    told.end(on_processes(told.works(plans, broken or ""), told.jobs or 1))


@group.command()
@drawn
@click.option("--strict/--plain", default=None, help="The kind of document; by turns where neither is said.")
@click.option("--broken", type=click.Choice(sorted(DOCUMENT_MUTATIONS)), help="A deliberate breakage.")
def rules(told: Drawn, strict: bool | None, broken: str | None) -> None:
    """No two nodes act on contradicting versions for longer than is stated; on strict ones never.

    \b
    Exit codes: 0 all held, 1 a property broke, 2 wrong use or the drill could not be run.
    Examples:
      marlstep drill rules --nodes 5 --seed 7 --for 20s --json
      marlstep drill rules --virtual --seeds 200
    """
    hooks = STEPS[:2] + DOCUMENT_STEPS
    breakage = DOCUMENT_MUTATIONS.get(broken or "")
    plans = told.plans(
        breakage, 8_000, lambda nodes, voters, ms: PlanSettings(nodes, voters, ms, steps=hooks)
    )
    if told.virtual:
        told.end(rules_on_virtual(plans, broken or "", told.cores))
    told.end(rules_on_processes(told.works(plans, broken or ""), strict, told.jobs or 1))


@group.command("members")
@drawn
@click.option("--loss", type=click.FloatRange(0, 0.5), default=0.01, help="Of datagrams; needs --virtual.")
@click.option(
    "--slow", type=click.FloatRange(0, 1), default=0.0, help="Share of slow nodes; needs --virtual."
)
@click.option(
    "--trusting", is_flag=True, help="Without self-doubt, to measure what it is worth; needs --virtual."
)
@click.option("--broken", type=click.Choice(sorted(MEMBERSHIP_MUTATIONS)), help="A deliberate breakage.")
def who_is_there(told: Drawn, loss: float, slow: float, trusting: bool, broken: str | None) -> None:
    """All live nodes come to hear of all live ones; nobody who is there is taken out; nobody acts where it must not.

    \b
    Exit codes: 0 all held, 1 a property broke, 2 wrong use or the drill could not be run.
    Examples:
      marlstep drill members --nodes 12 --seed 7 --for 30s --json
      marlstep drill members --virtual --nodes 40 --seeds 100 --loss 0.05
    """
    from marlstep.fault_injection.simulated_detectors import RANDOM_FAULT_TYPES as MEMBERS_KINDS

    def shape(nodes: int, voters: int, ms: int) -> PlanSettings:
        return PlanSettings(nodes, voters, ms, fault_types=MEMBERS_KINDS, mean_interval_ms=2_500)

    breakage = MEMBERSHIP_MUTATIONS.get(broken or "")
    if breakage is not None:
        breakage = replace(breakage, shape=shape(told.nodes, int(told.voters), told.length_us // 1000))
    plans = told.plans(breakage, 8_000, shape)
    if told.virtual:
        work = [(plan, broken or "", loss, slow, not trusting) for plan in plans]
        told.end(members_on_virtual(work, told.cores))
    told.end(members_on_processes(told.works(plans, broken or ""), told.jobs or 1))


def virtual_members_one(work: tuple[Plan, str, float, float, bool]) -> dict[str, Any]:
    from dataclasses import asdict

    from marlstep.fault_injection.simulated_detectors import run_members
    from marlstep.membership.detector_settings import DetectorSettings

    plan, name, loss, slow, doubts = work
    breakage = MEMBERSHIP_MUTATIONS[name] if name else Mutation()
    world, why = run_members(plan, breakage, DetectorSettings(local_health_enabled=doubts), loss, slow)
    return {"seed": plan.seed, "why": why, **asdict(world.measured)}


def members_on_virtual(work: list[tuple[Plan, str, float, float, bool]], jobs: int) -> dict[str, Any]:
    began = time.monotonic()
    with ProcessPoolExecutor(min(jobs, len(work))) as pool:
        rows = list(pool.map(virtual_members_one, work))
    plan = work[0][0]
    bad = [row for row in rows if row["why"]]
    hours = sum(one[0].length_ms for one in work) / 3_600_000
    seconds = hours * 3600 * len(plan.nodes)
    detected = sorted(one for row in rows for one in row["detected_us"])
    agree = sorted(row["views_agree_us"] for row in rows)
    return {
        "kind": "virtual",
        "broken_on_purpose": work[0][1],
        "nodes": len(plan.nodes),
        "loss": work[0][2],
        "slow": work[0][3],
        "doubts": work[0][4],
        "seeds": len(rows),
        "first_seed": plan.seed,
        "faults": sum(len(one[0].faults) for one in work),
        "views_agree_ms": {"p50": _at(agree, 0.5), "p95": _at(agree, 0.95), "most": _at(agree, 1.0)},
        "detected_ms": {"p50": _at(detected, 0.5), "p99": _at(detected, 0.99), "count": len(detected)},
        "false_suspicions_an_hour": round(sum(row["false_suspicions"] for row in rows) / hours, 1),
        "false_failures_an_hour": round(sum(row["false_failures"] for row in rows) / hours, 1),
        "datagrams_a_node_a_second": round(sum(row["datagrams"] for row in rows) / seconds, 2),
        "bytes_a_node_a_second": round(sum(row["bytes"] for row in rows) / seconds),
        "exchange_bytes_a_node_a_second": round(sum(row["exchange_bytes"] for row in rows) / seconds),
        "broken": [{"seed": row["seed"], "why": row["why"]} for row in bad[:20]],
        "seconds": round(time.monotonic() - began, 1),
        "verdict": "broken" if bad else "held",
    }


def _at(rows: list[int], share: float) -> float | None:
    return round(rows[min(len(rows) - 1, int(len(rows) * share))] / 1000, 1) if rows else None


def run_membership_plan(work: Work) -> dict[str, Any]:
    from marlstep.fault_injection.errors import ProcessClusterError
    from marlstep.fault_injection.membership_drill import run

    plan, settings = prepared(work)
    try:
        return asyncio.run(run(plan, replace(settings, members=True)))
    except (ProcessClusterError, OSError) as fault:
        return {"seed": plan.seed, "plan": plan.write(), "verdict": "not run", "fault": str(fault)}


def members_on_processes(work: list[Work], jobs: int) -> dict[str, Any]:
    began = time.monotonic()
    if len(work) == 1:
        return run_membership_plan(work[0])
    with ProcessPoolExecutor(min(jobs, len(work))) as pool:
        reports = list(pool.map(run_membership_plan, work))
    ran = [one for one in reports if one["verdict"] != "not run"]
    agree = sorted(one["views_agree_ms"] * 1000 for one in ran if one["views_agree_ms"] is not None)
    return {
        "kind": "processes",
        "plans": len(reports),
        "first_seed": work[0][0].seed,
        "not_run": len(reports) - len(ran),
        "faults": sum(one["faults"] for one in ran),
        "views_agree_ms": {"p50": _at(agree, 0.5), "p95": _at(agree, 0.95), "most": _at(agree, 1.0)},
        "removals": sum(one["removals"] for one in ran),
        "wrongly_removed": sum(len(one["wrongly_removed"]) for one in ran),
        "acts": sum(one["acts"] for one in ran),
        "forbidden_acts": sum(len(one["forbidden_acts"]) for one in ran),
        "broken": [one for one in reports if one["verdict"] != "held"],
        "seconds": round(time.monotonic() - began, 1),
        "verdict": "held" if all(one["verdict"] == "held" for one in reports) else "broken",
    }


def virtual_rules_one(work: tuple[Plan, str]) -> dict[str, Any]:
    from marlstep.fault_injection.linearizability import CallOutcome
    from marlstep.fault_injection.simulated_documents import run_rules

    plan, name = work
    world, why = run_rules(plan, DOCUMENT_MUTATIONS[name] if name else Mutation())
    longest = {one: seen.longest_us for one, seen in world.seen.items()}
    acted = sum(len(seen.acted) for seen in world.seen.values())
    calls = sum(world.counts[one.value] for one in CallOutcome)
    counts = {"changes": acted, "stages": world.counts["stages"], "calls": calls}
    return {"seed": plan.seed, "why": why, "faults": world.faults, "longest_us": longest, **counts}


def rules_on_virtual(plans: list[Plan], broken: str, jobs: int) -> dict[str, Any]:
    began = time.monotonic()
    with ProcessPoolExecutor(min(jobs, len(plans))) as pool:
        rows = list(pool.map(virtual_rules_one, [(plan, broken) for plan in plans], chunksize=2))
    bad = [row for row in rows if row["why"]]
    report: dict[str, Any] = {
        "kind": "virtual",
        "broken_on_purpose": broken,
        "seeds": len(rows),
        "first_seed": plans[0].seed,
        "faults": sum(row["faults"] for row in rows),
        "changes": sum(row["changes"] for row in rows),
        "stages": sum(row["stages"] for row in rows),
        "calls": sum(row["calls"] for row in rows),
        "longest_contradiction_ms": round(max(row["longest_us"]["plain"] for row in rows) / 1000, 1),
        "strict_contradictions": sum("two act on" in row["why"] for row in bad),
        "broken": [{"seed": row["seed"], "why": row["why"]} for row in bad[:20]],
        "seconds": round(time.monotonic() - began, 1),
        "verdict": "broken" if bad else "held",
    }
    shown = next((plan for plan in plans if bad and plan.seed == bad[0]["seed"]), plans[0])
    if bad or len(plans) == 1:
        report |= {"seed": shown.seed, "plan": shown.write()}
    return report


def rules_on_processes(work: list[Work], strict: bool | None, jobs: int) -> dict[str, Any]:
    began = time.monotonic()
    told = [(one, one[0].seed % 2 == 1 if strict is None else strict) for one in work]
    if len(told) == 1:
        return run_document_plan(told[0])
    with ProcessPoolExecutor(min(jobs, len(work))) as pool:
        reports = list(pool.map(run_document_plan, told))
    ran = [one for one in reports if one["verdict"] != "not run"]
    return {
        "kind": "processes",
        "plans": len(reports),
        "first_seed": work[0][0].seed,
        "not_run": len(reports) - len(ran),
        "faults": sum(one["faults"] for one in ran),
        "changes": sum(one["changes"] for one in ran),
        "calls": sum(one["calls"] for one in ran),
        "answers": sum(sum(one["answers"].values()) for one in ran),
        "longest_contradiction_ms": max((one["longest_contradiction_ms"] for one in ran), default=0),
        "strict_contradictions": sum(one["strict_contradictions"] for one in ran),
        "lost": sum(len(one["lost"]) for one in ran),
        "answered_twice": sum(one["answered_twice"] for one in ran),
        "broken": [one for one in reports if one["verdict"] != "held"],
        "seconds": round(time.monotonic() - began, 1),
        "verdict": "held" if all(one["verdict"] == "held" for one in reports) else "broken",
    }


def run_document_plan(work: tuple[Work, bool]) -> dict[str, Any]:
    from marlstep.fault_injection.document_drill import run
    from marlstep.fault_injection.errors import ProcessClusterError

    plan, settings = prepared(work[0])
    strict = work[1]
    try:
        return asyncio.run(run(plan, settings, strict))
    except (ProcessClusterError, OSError) as fault:
        return {"seed": plan.seed, "plan": plan.write(), "verdict": "not run", "fault": str(fault)}


# The virtual network.


def virtual_one(work: tuple[Plan, str]) -> dict[str, Any]:
    from marlstep.fault_injection.simulated_cluster import run

    plan, name = work
    world, why = run(plan, LEASE_MUTATIONS[name] if name else Mutation())
    acts = sum(act.accepted and not act.fence for act in world.effects)
    late = sum(not act.accepted for act in world.effects)
    return {
        "seed": plan.seed,
        "why": why,
        "faults": world.faults,
        "acts": acts,
        "refused_late": late,
        "grants": world.grants,
        "kinds": dict(world.counts),
    }


def on_virtual(plans: list[Plan], broken: str, jobs: int) -> dict[str, Any]:
    from marlstep.fault_injection.simulated_cluster import shrink

    began = time.monotonic()
    rows: list[dict[str, Any]] = []
    bad: list[dict[str, Any]] = []
    with ProcessPoolExecutor(min(jobs, len(plans))) as pool:
        for row in pool.map(virtual_one, [(plan, broken) for plan in plans], chunksize=4):
            rows.append(row)
            if row["why"]:
                bad.append(row)
                if broken:
                    pool.shutdown(cancel_futures=True)  # one is enough
                    break
    idle = [row["seed"] for row in rows if not row["acts"]]
    report: dict[str, Any] = {
        "kind": "virtual",
        "broken_on_purpose": broken,
        "seeds": len(rows),
        "first_seed": plans[0].seed,
        "faults": sum(row["faults"] for row in rows),
        "acts": sum(row["acts"] for row in rows),
        "refused_late": sum(row["refused_late"] for row in rows),
        "grants": sum(row["grants"] for row in rows),
        "overlaps": sum("overlap" in row["why"] or "two hold" in row["why"] for row in bad),
        "late_accepted": sum("falling token" in row["why"] for row in bad),
        "broken": [{"seed": row["seed"], "why": row["why"]} for row in bad[:20]],
        "without_acts": idle,
        "seconds": round(time.monotonic() - began, 1),
        "verdict": "broken" if bad or idle else "held",
    }
    if bad:
        plan = next(one for one in plans if one.seed == bad[0]["seed"])
        shortest = shrink(plan, LEASE_MUTATIONS[broken] if broken else Mutation())
        report |= {"seed": plan.seed, "plan": shortest.write()}
    elif len(plans) == 1:
        report |= {"seed": plans[0].seed, "plan": plans[0].write()}
    return report


# Processes.


def on_processes(work: list[Work], jobs: int) -> dict[str, Any]:
    from marlstep.fault_injection.errors import ProcessClusterError

    began = time.monotonic()
    try:
        if len(work) == 1:
            return run_lease_plan(work[0])
        with ProcessPoolExecutor(min(jobs, len(work))) as pool:
            reports = list(pool.map(run_lease_plan, work))
    except (ProcessClusterError, OSError) as fault:
        return {"kind": "processes", "verdict": "not run", "fault": str(fault)}
    held = all(one["verdict"] == "held" for one in reports)
    return {
        "kind": "processes",
        "plans": len(reports),
        "first_seed": work[0][0].seed,
        "faults": sum(one["faults"] for one in reports),
        "acts": sum(one["acts"] for one in reports),
        "refused_late": sum(one["refused_late"] for one in reports),
        "fences": sum(one["fences"] for one in reports),
        "changes_of_holder": sum(one["changes_of_holder"] for one in reports),
        "overlaps": sum(len(one["overlaps"]) for one in reports),
        "late_accepted": sum(len(one["late_accepted"]) for one in reports),
        "run_twice": sum(len(one["run_twice"]) for one in reports),
        "least_acts": min(one["acts"] for one in reports),
        "longest_to_be_well_s": max(one.get("well_again_s", 0) for one in reports),
        "broken": [one for one in reports if one["verdict"] != "held"],
        "seconds": round(time.monotonic() - began, 1),
        "verdict": "held" if held else "broken",
    }


def quiet() -> None:
    """Links that are broken on purpose are no news."""
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def prepared(work: Work) -> tuple[Plan, Settings]:
    from marlstep.fault_injection.process_cluster import Settings

    plan, config, logs, broken = work
    quiet()
    told = json.loads(Path(config).read_text("utf-8"))
    return plan, Settings(told, logs=Path(logs) if logs else None, broken=broken)


def run_lease_plan(work: Work) -> dict[str, Any]:
    from marlstep.fault_injection.errors import ProcessClusterError
    from marlstep.fault_injection.lease_drill import run

    plan, settings = prepared(work)
    try:
        return asyncio.run(run(plan, settings))
    except ProcessClusterError as fault:
        empty: dict[str, Any] = {"overlaps": [], "late_accepted": [], "run_twice": []}
        counts = dict.fromkeys(("acts", "refused_late", "fences", "changes_of_holder"), 0)
        why = {"verdict": "not run", "fault": str(fault)}
        return {"seed": plan.seed, "plan": plan.write(), "faults": 0, **counts, **empty, **why}


def text_of(report: dict[str, Any]) -> str:
    lines = [f"{report['verdict']}"]
    for key, value in report.items():
        if key == "plan":
            faults = value["faults"]
            lines.append(f"  plan: {len(faults)} faults")
            lines += [
                f"    at {one['at_ms']} ms for {one['for_ms']} ms: {one['kind']} {one['node']} {one['other']}"
                f"{one['hook']}"
                for one in faults
            ]
        elif key not in ("verdict", "nodes"):
            lines.append(f"  {key}: {value}")
    return "\n".join(lines)


@click.group()
def explore() -> None:
    """Walk every order of what can happen, in the small."""


@explore.command("leases")
@click.option("--start", "starts", multiple=True, type=click.Choice(["fresh", "held", "divergent"]))
@click.option("--broken", type=click.Choice(sorted(LEASE_MUTATIONS)), help="With a deliberate breakage.")
@click.option("--seconds", type=float, default=240.0, show_default=True, help="Give up after so long.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def walk_leases(
    ctx: click.Context, starts: tuple[str, ...], broken: str | None, seconds: float, as_json: bool
) -> None:
    """Three voters, two that want one lease: every order of messages, losses, crashes and wakes, to a depth.

    \b
    Properties: two never hold at once; tokens never fall; a committed entry is never lost; one leads in a
    term; what is granted was asked. Exit codes: 0 all held to the end of the bounds, 1 one broke (the steps
    are printed), 2 time ran out before the bounds.
    """
    names = starts or ("fresh", "held", "divergent")
    with ProcessPoolExecutor(len(names)) as pool:
        found = list(pool.map(_walk_one, [(name, broken or "", seconds) for name in names]))
    _walked(ctx, found, as_json)


@explore.command("rules")
@click.option("--start", "starts", multiple=True, type=click.Choice(RULES_STARTS))
@click.option("--broken", type=click.Choice(sorted(DOCUMENT_MUTATIONS)), help="With a deliberate breakage.")
@click.option("--wakes", type=click.IntRange(0, 4), help="Steps of a walk in which time goes on.")
@click.option("--seconds", type=float, default=240.0, show_default=True, help="Give up after so long.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def walk_documents(
    ctx: click.Context,
    starts: tuple[str, ...],
    broken: str | None,
    wakes: int | None,
    seconds: float,
    as_json: bool,
) -> None:
    """Two nodes that act on one document, and a change on its way: every order of what can happen, to a depth.

    \b
    Properties: of a strict document no two versions are acted on; of any other none is for longer than a lease
    after the next came into force; what is acted on was committed. Exit codes as of `explore leases`.
    """
    names = starts or RULES_STARTS
    with ProcessPoolExecutor(len(names)) as pool:
        found = list(pool.map(_walk_rules_one, [(name, broken or "", wakes, seconds) for name in names]))
    _walked(ctx, found, as_json)


def _walked(ctx: click.Context, found: list[dict[str, Any]], as_json: bool) -> None:
    broke = [one for one in found if one["broken"]]
    whole = all(one["complete"] for one in found)
    verdict = "broken" if broke else "held" if whole else "not complete"
    report = {"verdict": verdict, "walks": found}
    if as_json:
        click.echo(json.dumps(report))
    else:
        click.echo(verdict)
        for one in found:
            click.echo(
                f"  {one['start']}: {one['states']} states to depth {one['depth']} in {one['seconds']:.1f} s"
                + (", to the end of its bounds" if one["complete"] else "")
            )
            if one["broken"]:
                click.echo(f"    {one['broken']}")
                for step in one["trace"]:
                    click.echo(f"      {step}")
    ctx.exit(BROKEN if broke else HELD if whole else WRONG)


def _walk_rules_one(work: tuple[str, str, int | None, float]) -> dict[str, Any]:
    from dataclasses import asdict, replace

    from marlstep.fault_injection.document_model import STARTS, search_document_states

    start, broken, wakes, seconds = work
    usual = STARTS[start][-1]
    bounds = usual if wakes is None else replace(usual, wakes=wakes)
    return asdict(
        search_document_states(start, DOCUMENT_MUTATIONS[broken] if broken else Mutation(), bounds, seconds)
    )


def _walk_one(work: tuple[str, str, float]) -> dict[str, Any]:
    from dataclasses import asdict

    from marlstep.fault_injection.lease_model import walk

    start, broken, seconds = work
    return asdict(walk(start, LEASE_MUTATIONS[broken] if broken else Mutation(), seconds=seconds))
