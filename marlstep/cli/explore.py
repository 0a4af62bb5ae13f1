"""`marlstep explore`: model checking of the lease and document models, to the end of their bounds."""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, replace
from typing import Any

import click

from marlstep.cli.drill import EXIT_BROKEN, EXIT_HELD, EXIT_INCONCLUSIVE
from marlstep.fault_injection.mutations import DOCUMENT_MUTATIONS, LEASE_MUTATIONS, Mutation

DOCUMENT_STARTS = ("strict", "plain", "lapsed", "lapsed plain", "three")  # start states of the document model


@click.group()
def explore() -> None:
    """Walk every order of what can happen, in the small."""


@explore.command("leases")
@click.option("--start", "starts", multiple=True, type=click.Choice(["fresh", "held", "divergent"]))
@click.option("--broken", type=click.Choice(sorted(LEASE_MUTATIONS)), help="With a deliberate breakage.")
@click.option("--seconds", type=float, default=240.0, show_default=True, help="Give up after so long.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def explore_leases(
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
        results = list(pool.map(_search_leases, [(name, broken or "", seconds) for name in names]))
    _print_results_and_exit(ctx, results, as_json)


@explore.command("rules")
@click.option("--start", "starts", multiple=True, type=click.Choice(DOCUMENT_STARTS))
@click.option("--broken", type=click.Choice(sorted(DOCUMENT_MUTATIONS)), help="With a deliberate breakage.")
@click.option("--wakes", type=click.IntRange(0, 4), help="Steps of a walk in which time goes on.")
@click.option("--seconds", type=float, default=240.0, show_default=True, help="Give up after so long.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def explore_documents(
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
    names = starts or DOCUMENT_STARTS
    with ProcessPoolExecutor(len(names)) as pool:
        results = list(pool.map(_search_documents, [(name, broken or "", wakes, seconds) for name in names]))
    _print_results_and_exit(ctx, results, as_json)


def _print_results_and_exit(ctx: click.Context, results: list[dict[str, Any]], as_json: bool) -> None:
    """Print the result of the search from each start state, and exit with the code of the verdict."""
    broken_results = [row for row in results if row["broken"]]
    is_complete = all(row["complete"] for row in results)
    verdict = "broken" if broken_results else "held" if is_complete else "not complete"
    report = {"verdict": verdict, "walks": results}
    if as_json:
        click.echo(json.dumps(report))
    else:
        click.echo(verdict)
        for row in results:
            click.echo(
                f"  {row['start']}: {row['states']} states to depth {row['depth']} in {row['seconds']:.1f} s"
                + (", to the end of its bounds" if row["complete"] else "")
            )
            if row["broken"]:
                click.echo(f"    {row['broken']}")
                for step in row["trace"]:
                    click.echo(f"      {step}")
    ctx.exit(EXIT_BROKEN if broken_results else EXIT_HELD if is_complete else EXIT_INCONCLUSIVE)


def _search_documents(arguments: tuple[str, str, int | None, float]) -> dict[str, Any]:
    """Search the document model from one start state.

    Args:
        arguments: start state, name of the mutation or an empty text, the most steps in which time advances or None
            for the default of the start state, and the time limit in seconds.
    """
    from marlstep.fault_injection.document_model import STARTS, search_document_states

    start, mutation_name, wakes, seconds = arguments
    default_bounds = STARTS[start][-1]
    bounds = default_bounds if wakes is None else replace(default_bounds, wakes=wakes)
    return asdict(
        search_document_states(
            start, DOCUMENT_MUTATIONS[mutation_name] if mutation_name else Mutation(), bounds, seconds
        )
    )


def _search_leases(arguments: tuple[str, str, float]) -> dict[str, Any]:
    """Search the lease model from one start state.

    Args:
        arguments: start state, name of the mutation or an empty text, and the time limit in seconds.
    """
    from marlstep.fault_injection.lease_model import walk

    start, mutation_name, seconds = arguments
    return asdict(
        walk(start, LEASE_MUTATIONS[mutation_name] if mutation_name else Mutation(), seconds=seconds)
    )
