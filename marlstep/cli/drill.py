"""`marlstep drill`: fault injection on node processes or a simulated network."""

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

# Exit codes by verdict. Inconclusive: a drill could not be run, or a search ended before it covered its bounds.
EXIT_HELD, EXIT_BROKEN, EXIT_INCONCLUSIVE = 0, 1, 2
MAX_JOBS = 16


def load_plan(path: str) -> Plan:
    """Read a plan from a JSON file that holds the plan itself, or a report with the key `plan`.

    Raises:
        click.BadParameter: the file can't be read, or holds no valid plan.
    """
    try:
        document = json.loads(Path(path).read_text("utf-8"))
        return read_plan(document.get("plan", document) if isinstance(document, dict) else document)
    except (OSError, ValueError, InvalidPlanError) as error:
        raise click.BadParameter(f"{path}: {error}") from error


@dataclass(slots=True, frozen=True)
class DrillOptions:
    """Options of every drill: which plans to run, and where.

    Attributes:
        nodes: number of nodes.
        voters: number of voters, as the text of the option.
        seed: seed of the first plan.
        seeds: number of plans, with consecutive seeds.
        length_us: length of each plan, in microseconds.
        path: JSON file of a plan to replay; None to draw plans from seeds.
        calm: run the plans without faults.
        virtual: run on the simulated network instead of node processes.
        jobs: number of plans to run at once; None for the default of the command.
        config: path of the platform's JSON configuration.
        logs: directory to keep the nodes' logs in; None to discard them.
        as_json: print the report as JSON.
    """

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
        self, mutation: Mutation | None, min_length_ms: int, shape: Callable[[int, int, int], PlanSettings]
    ) -> list[Plan]:
        """Return the plans to run, read from the plan file or drawn from the seeds.

        Args:
            mutation: the deliberate defect that the nodes run with, or None.
            min_length_ms: the shortest plan that the drill accepts, in milliseconds.
            shape: returns the settings of a plan for a number of nodes, of voters, and a length in milliseconds.

        Raises:
            click.UsageError: the options conflict, or the plans are too short.
        """
        if mutation is not None and not self.virtual and not mutation.runs_on_processes:
            raise click.UsageError(f"--broken {mutation.name} needs --virtual")
        if mutation is not None and self.virtual and mutation.ignores_capabilities:
            raise click.UsageError(f"--broken {mutation.name} is of processes, not of the virtual network")
        if int(self.voters) > self.nodes:
            raise click.UsageError("--voters can't be more than --nodes")
        plan_length_ms = self.length_us // 1000
        if plan_length_ms < min_length_ms:
            raise click.BadParameter(f"a plan takes at least {min_length_ms // 1000}s", param_hint="--for")
        if self.path is not None:
            plans = [load_plan(self.path)]
        else:
            settings = shape(self.nodes, int(self.voters), plan_length_ms)
            if mutation is not None and self.virtual:
                settings = mutation.shape
            plans = [draw(seed, settings) for seed in range(self.seed, self.seed + self.seeds)]
        if self.calm:
            plans = [
                Plan(plan.seed, plan.nodes, plan.voters, plan.length_ms, plan.rates, ()) for plan in plans
            ]
        return plans

    @property
    def worker_count(self) -> int:
        """Number of plans to run at once on the simulated network; by default the number of CPUs."""
        return self.jobs or os.cpu_count() or 1

    def process_runs(self, plans: list[Plan], mutation_name: str) -> list[ProcessRun]:
        """Return the arguments of each plan's run on node processes, with a log directory per seed if logs are kept."""
        return [
            (
                plan,
                self.config,
                str(Path(self.logs) / f"seed-{plan.seed}") if self.logs else "",
                mutation_name,
            )
            for plan in plans
        ]

    def print_report_and_exit(self, report: dict[str, Any]) -> NoReturn:
        """Print the report, and exit with the code of its verdict."""
        click.echo(json.dumps(report) if self.as_json else render_report(report))
        click.get_current_context().exit(
            {"held": EXIT_HELD, "broken": EXIT_BROKEN}.get(report["verdict"], EXIT_INCONCLUSIVE)
        )


ProcessRun = tuple[Plan, str, str, str]  # plan, platform's configuration file, log directory, mutation's name


def drill_options(function: Any) -> Any:
    """Add the options of every drill, passed to the command as one `DrillOptions`."""

    @wraps(function)
    def command(**arguments: Any) -> Any:
        return function(
            DrillOptions(**{field.name: arguments.pop(field.name) for field in fields(DrillOptions)}),
            **arguments,
        )

    file = click.Path(exists=True, dir_okay=False)
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option("--logs", type=click.Path(file_okay=False), help="Keep the nodes' logs there."),
        click.option("--config", type=file, default="deploy/node.json", show_default=True),
        click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=None, help="Plans at once."),
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
@drill_options
@click.option("--beyond", is_flag=True, help="One clock errs by 20%, beyond what is guarded against.")
@click.option("--broken", type=click.Choice(sorted(LEASE_MUTATIONS)), help="A deliberate breakage.")
def leases(options: DrillOptions, beyond: bool, broken: str | None) -> None:
    """Two holders never act at once: processes that are killed, stopped, cut off and slowed.

    \b
    Exit codes: 0 all held, 1 a property broke, 2 wrong use or the drill could not be run.
    Examples:
      marlstep drill leases --nodes 5 --seed 7 --for 20s --json
      marlstep drill leases --virtual --seeds 1000
      marlstep drill leases --virtual --broken vote-not-synced --seeds 300
    """
    plans = options.plans(
        LEASE_MUTATIONS.get(broken or ""),
        4_000,
        lambda nodes, voters, length_ms: PlanSettings(nodes, voters, length_ms, exceeds_drift=beyond),
    )
    if options.virtual:
        options.print_report_and_exit(run_virtual_lease_plans(plans, broken or "", options.worker_count))
    options.print_report_and_exit(
        run_lease_plans(options.process_runs(plans, broken or ""), options.jobs or 1)
    )


@group.command()
@drill_options
@click.option("--strict/--plain", default=None, help="The kind of document; by turns where neither is said.")
@click.option("--broken", type=click.Choice(sorted(DOCUMENT_MUTATIONS)), help="A deliberate breakage.")
def rules(options: DrillOptions, strict: bool | None, broken: str | None) -> None:
    """No two nodes act on contradicting versions for longer than is stated; on strict ones never.

    \b
    Exit codes: 0 all held, 1 a property broke, 2 wrong use or the drill could not be run.
    Examples:
      marlstep drill rules --nodes 5 --seed 7 --for 20s --json
      marlstep drill rules --virtual --seeds 200
    """
    kill_steps = STEPS[:2] + DOCUMENT_STEPS
    mutation = DOCUMENT_MUTATIONS.get(broken or "")
    plans = options.plans(
        mutation,
        8_000,
        lambda nodes, voters, length_ms: PlanSettings(nodes, voters, length_ms, steps=kill_steps),
    )
    if options.virtual:
        options.print_report_and_exit(run_virtual_document_plans(plans, broken or "", options.worker_count))
    options.print_report_and_exit(
        run_document_plans(options.process_runs(plans, broken or ""), strict, options.jobs or 1)
    )


@group.command("members")
@drill_options
@click.option("--loss", type=click.FloatRange(0, 0.5), default=0.01, help="Of datagrams; needs --virtual.")
@click.option(
    "--slow", type=click.FloatRange(0, 1), default=0.0, help="Share of slow nodes; needs --virtual."
)
@click.option(
    "--trusting", is_flag=True, help="Without self-doubt, to measure what it is worth; needs --virtual."
)
@click.option("--broken", type=click.Choice(sorted(MEMBERSHIP_MUTATIONS)), help="A deliberate breakage.")
def members(options: DrillOptions, loss: float, slow: float, trusting: bool, broken: str | None) -> None:
    """All live nodes come to hear of all live ones; nobody who is there is taken out; nobody acts where it must not.

    \b
    Exit codes: 0 all held, 1 a property broke, 2 wrong use or the drill could not be run.
    Examples:
      marlstep drill members --nodes 12 --seed 7 --for 30s --json
      marlstep drill members --virtual --nodes 40 --seeds 100 --loss 0.05
    """
    from marlstep.fault_injection.simulated_detectors import RANDOM_FAULT_TYPES as MEMBERSHIP_FAULT_TYPES

    def shape(nodes: int, voters: int, length_ms: int) -> PlanSettings:
        return PlanSettings(
            nodes, voters, length_ms, fault_types=MEMBERSHIP_FAULT_TYPES, mean_interval_ms=2_500
        )

    mutation = MEMBERSHIP_MUTATIONS.get(broken or "")
    if mutation is not None:
        mutation = replace(
            mutation, shape=shape(options.nodes, int(options.voters), options.length_us // 1000)
        )
    plans = options.plans(mutation, 8_000, shape)
    if options.virtual:
        runs = [(plan, broken or "", loss, slow, not trusting) for plan in plans]
        options.print_report_and_exit(run_virtual_membership_plans(runs, options.worker_count))
    options.print_report_and_exit(
        run_membership_plans(options.process_runs(plans, broken or ""), options.jobs or 1)
    )


def run_virtual_membership_plan(arguments: tuple[Plan, str, float, float, bool]) -> dict[str, Any]:
    """Run one plan of the membership drill on the simulated network, and return the row of its results.

    Args:
        arguments: plan, name of the mutation or an empty text, share of datagrams that are lost, share of slow
            nodes, and whether nodes adapt their timeouts to their own health.
    """
    from dataclasses import asdict

    from marlstep.fault_injection.simulated_detectors import run_members
    from marlstep.membership.detector_settings import DetectorSettings

    plan, mutation_name, loss, slow, uses_local_health = arguments
    mutation = MEMBERSHIP_MUTATIONS[mutation_name] if mutation_name else Mutation()
    cluster, violation = run_members(
        plan, mutation, DetectorSettings(local_health_enabled=uses_local_health), loss, slow
    )
    return {"seed": plan.seed, "why": violation, **asdict(cluster.measured)}


def run_virtual_membership_plans(
    runs: list[tuple[Plan, str, float, float, bool]], jobs: int
) -> dict[str, Any]:
    """Run plans of the membership drill on the simulated network, `jobs` at once, and return the report."""
    started = time.monotonic()
    with ProcessPoolExecutor(min(jobs, len(runs))) as pool:
        rows = list(pool.map(run_virtual_membership_plan, runs))
    plan = runs[0][0]
    broken_rows = [row for row in rows if row["why"]]
    hours = sum(run[0].length_ms for run in runs) / 3_600_000
    node_seconds = hours * 3600 * len(plan.nodes)
    detection_us = sorted(time_us for row in rows for time_us in row["detected_us"])
    agreement_us = sorted(row["views_agree_us"] for row in rows)
    return {
        "kind": "virtual",
        "broken_on_purpose": runs[0][1],
        "nodes": len(plan.nodes),
        "loss": runs[0][2],
        "slow": runs[0][3],
        "doubts": runs[0][4],
        "seeds": len(rows),
        "first_seed": plan.seed,
        "faults": sum(len(run[0].faults) for run in runs),
        "views_agree_ms": {
            "p50": _quantile_ms(agreement_us, 0.5),
            "p95": _quantile_ms(agreement_us, 0.95),
            "most": _quantile_ms(agreement_us, 1.0),
        },
        "detected_ms": {
            "p50": _quantile_ms(detection_us, 0.5),
            "p99": _quantile_ms(detection_us, 0.99),
            "count": len(detection_us),
        },
        "false_suspicions_an_hour": round(sum(row["false_suspicions"] for row in rows) / hours, 1),
        "false_failures_an_hour": round(sum(row["false_failures"] for row in rows) / hours, 1),
        "datagrams_a_node_a_second": round(sum(row["datagrams"] for row in rows) / node_seconds, 2),
        "bytes_a_node_a_second": round(sum(row["bytes"] for row in rows) / node_seconds),
        "exchange_bytes_a_node_a_second": round(sum(row["exchange_bytes"] for row in rows) / node_seconds),
        "broken": [{"seed": row["seed"], "why": row["why"]} for row in broken_rows[:20]],
        "seconds": round(time.monotonic() - started, 1),
        "verdict": "broken" if broken_rows else "held",
    }


def _quantile_ms(samples_us: list[int], quantile: float) -> float | None:
    """Return a quantile, from 0 to 1, of sorted times in microseconds; None if there are none."""
    return (
        round(samples_us[min(len(samples_us) - 1, int(len(samples_us) * quantile))] / 1000, 1)
        if samples_us
        else None
    )


def run_membership_plan(process_run: ProcessRun) -> dict[str, Any]:
    """Run one plan of the membership drill on node processes, and return its report."""
    from marlstep.fault_injection.errors import ProcessClusterError
    from marlstep.fault_injection.membership_drill import run

    plan, settings = prepare_run(process_run)
    try:
        return asyncio.run(run(plan, replace(settings, members=True)))
    except (ProcessClusterError, OSError) as error:
        return {"seed": plan.seed, "plan": plan.write(), "verdict": "not run", "fault": str(error)}


def run_membership_plans(process_runs: list[ProcessRun], jobs: int) -> dict[str, Any]:
    """Run plans of the membership drill on node processes, `jobs` at once, and return the report.

    The report of a single plan is returned as it is.
    """
    started = time.monotonic()
    if len(process_runs) == 1:
        return run_membership_plan(process_runs[0])
    with ProcessPoolExecutor(min(jobs, len(process_runs))) as pool:
        reports = list(pool.map(run_membership_plan, process_runs))
    completed = [report for report in reports if report["verdict"] != "not run"]
    agreement_us = sorted(
        report["views_agree_ms"] * 1000 for report in completed if report["views_agree_ms"] is not None
    )
    return {
        "kind": "processes",
        "plans": len(reports),
        "first_seed": process_runs[0][0].seed,
        "not_run": len(reports) - len(completed),
        "faults": sum(report["faults"] for report in completed),
        "views_agree_ms": {
            "p50": _quantile_ms(agreement_us, 0.5),
            "p95": _quantile_ms(agreement_us, 0.95),
            "most": _quantile_ms(agreement_us, 1.0),
        },
        "removals": sum(report["removals"] for report in completed),
        "wrongly_removed": sum(len(report["wrongly_removed"]) for report in completed),
        "acts": sum(report["acts"] for report in completed),
        "forbidden_acts": sum(len(report["forbidden_acts"]) for report in completed),
        "broken": [report for report in reports if report["verdict"] != "held"],
        "seconds": round(time.monotonic() - started, 1),
        "verdict": "held" if all(report["verdict"] == "held" for report in reports) else "broken",
    }


def run_virtual_document_plan(arguments: tuple[Plan, str]) -> dict[str, Any]:
    """Run one plan, with the named mutation if any, of the document drill on the simulated network."""
    from marlstep.fault_injection.linearizability import CallOutcome
    from marlstep.fault_injection.simulated_documents import run_rules

    plan, mutation_name = arguments
    cluster, violation = run_rules(plan, DOCUMENT_MUTATIONS[mutation_name] if mutation_name else Mutation())
    longest_contradictions = {key: seen.longest_us for key, seen in cluster.seen.items()}
    acted = sum(len(seen.acted) for seen in cluster.seen.values())
    calls = sum(cluster.counts[key.value] for key in CallOutcome)
    counts = {"changes": acted, "stages": cluster.counts["stages"], "calls": calls}
    return {
        "seed": plan.seed,
        "why": violation,
        "faults": cluster.faults,
        "longest_us": longest_contradictions,
        **counts,
    }


def run_virtual_document_plans(plans: list[Plan], mutation_name: str, jobs: int) -> dict[str, Any]:
    """Run plans of the document drill on the simulated network, `jobs` at once, and return the report.

    The report holds the first plan that broke a property, or the only plan, for a replay.
    """
    started = time.monotonic()
    with ProcessPoolExecutor(min(jobs, len(plans))) as pool:
        rows = list(
            pool.map(run_virtual_document_plan, [(plan, mutation_name) for plan in plans], chunksize=2)
        )
    broken_rows = [row for row in rows if row["why"]]
    report: dict[str, Any] = {
        "kind": "virtual",
        "broken_on_purpose": mutation_name,
        "seeds": len(rows),
        "first_seed": plans[0].seed,
        "faults": sum(row["faults"] for row in rows),
        "changes": sum(row["changes"] for row in rows),
        "stages": sum(row["stages"] for row in rows),
        "calls": sum(row["calls"] for row in rows),
        "longest_contradiction_ms": round(max(row["longest_us"]["plain"] for row in rows) / 1000, 1),
        "strict_contradictions": sum("two act on" in row["why"] for row in broken_rows),
        "broken": [{"seed": row["seed"], "why": row["why"]} for row in broken_rows[:20]],
        "seconds": round(time.monotonic() - started, 1),
        "verdict": "broken" if broken_rows else "held",
    }
    reported_plan = next(
        (plan for plan in plans if broken_rows and plan.seed == broken_rows[0]["seed"]), plans[0]
    )
    if broken_rows or len(plans) == 1:
        report |= {"seed": reported_plan.seed, "plan": reported_plan.write()}
    return report


def run_document_plans(process_runs: list[ProcessRun], strict: bool | None, jobs: int) -> dict[str, Any]:
    """Run plans of the document drill on node processes, `jobs` at once, and return the report.

    The report of a single plan is returned as it is.

    Args:
        process_runs: the arguments of each run.
        strict: whether the document is strict; None to use a strict one in plans with an odd seed only.
        jobs: number of plans to run at once.
    """
    started = time.monotonic()
    runs = [(run, run[0].seed % 2 == 1 if strict is None else strict) for run in process_runs]
    if len(runs) == 1:
        return run_document_plan(runs[0])
    with ProcessPoolExecutor(min(jobs, len(process_runs))) as pool:
        reports = list(pool.map(run_document_plan, runs))
    completed = [report for report in reports if report["verdict"] != "not run"]
    return {
        "kind": "processes",
        "plans": len(reports),
        "first_seed": process_runs[0][0].seed,
        "not_run": len(reports) - len(completed),
        "faults": sum(report["faults"] for report in completed),
        "changes": sum(report["changes"] for report in completed),
        "calls": sum(report["calls"] for report in completed),
        "answers": sum(sum(report["answers"].values()) for report in completed),
        "longest_contradiction_ms": max(
            (report["longest_contradiction_ms"] for report in completed), default=0
        ),
        "strict_contradictions": sum(report["strict_contradictions"] for report in completed),
        "lost": sum(len(report["lost"]) for report in completed),
        "answered_twice": sum(report["answered_twice"] for report in completed),
        "broken": [report for report in reports if report["verdict"] != "held"],
        "seconds": round(time.monotonic() - started, 1),
        "verdict": "held" if all(report["verdict"] == "held" for report in reports) else "broken",
    }


def run_document_plan(arguments: tuple[ProcessRun, bool]) -> dict[str, Any]:
    """Run one plan of the document drill on node processes, and return its report.

    Args:
        arguments: the arguments of the run, and whether the document is strict.
    """
    from marlstep.fault_injection.document_drill import run
    from marlstep.fault_injection.errors import ProcessClusterError

    plan, settings = prepare_run(arguments[0])
    strict = arguments[1]
    try:
        return asyncio.run(run(plan, settings, strict))
    except (ProcessClusterError, OSError) as error:
        return {"seed": plan.seed, "plan": plan.write(), "verdict": "not run", "fault": str(error)}


def run_virtual_lease_plan(arguments: tuple[Plan, str]) -> dict[str, Any]:
    """Run one plan, with the named mutation if any, of the lease drill on the simulated network."""
    from marlstep.fault_injection.simulated_cluster import run

    plan, mutation_name = arguments
    cluster, violation = run(plan, LEASE_MUTATIONS[mutation_name] if mutation_name else Mutation())
    acts = sum(act.accepted and not act.fence for act in cluster.effects)
    late = sum(not act.accepted for act in cluster.effects)
    return {
        "seed": plan.seed,
        "why": violation,
        "faults": cluster.faults,
        "acts": acts,
        "refused_late": late,
        "grants": cluster.grants,
        "kinds": dict(cluster.counts),
    }


def run_virtual_lease_plans(plans: list[Plan], mutation_name: str, jobs: int) -> dict[str, Any]:
    """Run plans of the lease drill on the simulated network, `jobs` at once, and return the report.

    A plan in which no task acted shows nothing about leases, so it counts as broken. The report holds the first broken
    plan, with as few faults as still break a property, or the only plan, for a replay.
    """
    from marlstep.fault_injection.simulated_cluster import shrink

    started = time.monotonic()
    rows: list[dict[str, Any]] = []
    broken_rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor(min(jobs, len(plans))) as pool:
        for row in pool.map(run_virtual_lease_plan, [(plan, mutation_name) for plan in plans], chunksize=4):
            rows.append(row)
            if row["why"]:
                broken_rows.append(row)
                if mutation_name:
                    pool.shutdown(cancel_futures=True)  # one broken plan shows that the mutation is found
                    break
    idle_seeds = [row["seed"] for row in rows if not row["acts"]]
    report: dict[str, Any] = {
        "kind": "virtual",
        "broken_on_purpose": mutation_name,
        "seeds": len(rows),
        "first_seed": plans[0].seed,
        "faults": sum(row["faults"] for row in rows),
        "acts": sum(row["acts"] for row in rows),
        "refused_late": sum(row["refused_late"] for row in rows),
        "grants": sum(row["grants"] for row in rows),
        "overlaps": sum("overlap" in row["why"] or "two hold" in row["why"] for row in broken_rows),
        "late_accepted": sum("falling token" in row["why"] for row in broken_rows),
        "broken": [{"seed": row["seed"], "why": row["why"]} for row in broken_rows[:20]],
        "without_acts": idle_seeds,
        "seconds": round(time.monotonic() - started, 1),
        "verdict": "broken" if broken_rows or idle_seeds else "held",
    }
    if broken_rows:
        plan = next(candidate for candidate in plans if candidate.seed == broken_rows[0]["seed"])
        shortest = shrink(plan, LEASE_MUTATIONS[mutation_name] if mutation_name else Mutation())
        report |= {"seed": plan.seed, "plan": shortest.write()}
    elif len(plans) == 1:
        report |= {"seed": plans[0].seed, "plan": plans[0].write()}
    return report


def run_lease_plans(process_runs: list[ProcessRun], jobs: int) -> dict[str, Any]:
    """Run plans of the lease drill on node processes, `jobs` at once, and return the report.

    The report of a single plan is returned as it is.
    """
    from marlstep.fault_injection.errors import ProcessClusterError

    started = time.monotonic()
    try:
        if len(process_runs) == 1:
            return run_lease_plan(process_runs[0])
        with ProcessPoolExecutor(min(jobs, len(process_runs))) as pool:
            reports = list(pool.map(run_lease_plan, process_runs))
    except (ProcessClusterError, OSError) as error:
        return {"kind": "processes", "verdict": "not run", "fault": str(error)}
    held = all(report["verdict"] == "held" for report in reports)
    return {
        "kind": "processes",
        "plans": len(reports),
        "first_seed": process_runs[0][0].seed,
        "faults": sum(report["faults"] for report in reports),
        "acts": sum(report["acts"] for report in reports),
        "refused_late": sum(report["refused_late"] for report in reports),
        "fences": sum(report["fences"] for report in reports),
        "changes_of_holder": sum(report["changes_of_holder"] for report in reports),
        "overlaps": sum(len(report["overlaps"]) for report in reports),
        "late_accepted": sum(len(report["late_accepted"]) for report in reports),
        "run_twice": sum(len(report["run_twice"]) for report in reports),
        "least_acts": min(report["acts"] for report in reports),
        "longest_to_be_well_s": max(report.get("well_again_s", 0) for report in reports),
        "broken": [report for report in reports if report["verdict"] != "held"],
        "seconds": round(time.monotonic() - started, 1),
        "verdict": "held" if held else "broken",
    }


def hide_asyncio_warnings() -> None:
    """Log only errors of asyncio: it would warn about each connection that a fault breaks on purpose."""
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def prepare_run(process_run: ProcessRun) -> tuple[Plan, Settings]:
    """Return the plan of a run on node processes, and the settings of the cluster to start."""
    from marlstep.fault_injection.process_cluster import Settings

    plan, config, logs, broken = process_run
    hide_asyncio_warnings()
    document = json.loads(Path(config).read_text("utf-8"))
    return plan, Settings(document, logs=Path(logs) if logs else None, broken=broken)


def run_lease_plan(process_run: ProcessRun) -> dict[str, Any]:
    """Run one plan of the lease drill on node processes, and return its report.

    If the drill can't be run, the report has the verdict `not run` and zero for every count.
    """
    from marlstep.fault_injection.errors import ProcessClusterError
    from marlstep.fault_injection.lease_drill import run

    plan, settings = prepare_run(process_run)
    try:
        return asyncio.run(run(plan, settings))
    except ProcessClusterError as error:
        empty: dict[str, Any] = {"overlaps": [], "late_accepted": [], "run_twice": []}
        counts = dict.fromkeys(("acts", "refused_late", "fences", "changes_of_holder"), 0)
        outcome = {"verdict": "not run", "fault": str(error)}
        return {"seed": plan.seed, "plan": plan.write(), "faults": 0, **counts, **empty, **outcome}


def render_report(report: dict[str, Any]) -> str:
    """Render a report as text: the verdict, a line for each fault of the plan, and one for each other value."""
    lines = [f"{report['verdict']}"]
    for key, value in report.items():
        if key == "plan":
            faults = value["faults"]
            lines.append(f"  plan: {len(faults)} faults")
            lines += [
                f"    at {fault['at_ms']} ms for {fault['for_ms']} ms: {fault['kind']} {fault['node']} {fault['other']}"
                f"{fault['hook']}"
                for fault in faults
            ]
        elif key not in ("verdict", "nodes"):
            lines.append(f"  {key}: {value}")
    return "\n".join(lines)
