"""Checkers that can fail, the virtual network, and the walk in the small."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from marlstep.cli.drill import explore
from marlstep.cli.main import call
from marlstep.fault_injection.effects import (
    Effect,
    FencingServer,
    overlapping_effects,
    repeated_runs,
    shared_tokens,
    stale_tokens_accepted,
)
from marlstep.fault_injection.errors import InvalidPlanError
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.lease_drill import judge
from marlstep.fault_injection.lease_model import STARTS, walk
from marlstep.fault_injection.mutations import LEASE_MUTATIONS, Mutation
from marlstep.fault_injection.network_links import Link
from marlstep.fault_injection.plan import Plan, Shape, draw, read_plan
from marlstep.fault_injection.simulated_cluster import run, shrink


def act(node: str, token: int, began: int, ended: int, **other: object) -> Effect:
    told = {"task": "t", "run": token, "accepted": True, **other}
    return Effect(node=node, token=token, began_us=began, ended_us=ended, **told)  # type: ignore[arg-type]


def test_the_checkers_find_what_is_wrong_and_nothing_else() -> None:
    good = [act("a", 1, 0, 10), act("a", 1, 5, 20), act("b", 2, 20, 30)]
    assert not list(overlapping_effects(good)) and not list(stale_tokens_accepted(good))
    bad = [*good, act("a", 1, 29, 40)]
    assert [(one.node, other.node) for one, other in overlapping_effects(bad)] == [("b", "a")]
    assert [other.began_us for _, other in stale_tokens_accepted(bad)] == [29]
    assert list(overlapping_effects([act("a", 1, 0, 10), act("b", 1, 5, 20)]))  # one token, two nodes
    assert list(shared_tokens([act("a", 1, 0, 1), act("b", 1, 9, 12)])) and not list(shared_tokens(good))
    refused = [*good, act("a", 1, 29, 40, accepted=False)]
    assert not list(overlapping_effects(refused)) and not list(stale_tokens_accepted(refused))
    assert list(repeated_runs([act("a", 1, 0, 1, run=5), act("b", 2, 2, 3, run=5)], frozenset("t")))
    assert not list(repeated_runs([act("a", 1, 0, 1, run=5), act("b", 2, 2, 3, run=5)], frozenset()))


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 50), st.integers(1, 20)), max_size=12))
def test_overlaps_are_those_that_a_look_at_all_pairs_finds(rows: list[tuple[str, int, int]]) -> None:
    effects = [act(node, ord(node), began, began + length) for node, began, length in rows]
    slow = {
        frozenset((id(one), id(other)))
        for one in effects
        for other in effects
        if (one.token, one.node) != (other.token, other.node)
        and one.began_us < other.ended_us
        and other.began_us < one.ended_us
    }
    assert {frozenset((id(one), id(other))) for one, other in overlapping_effects(effects)} == slow


def test_a_drill_in_which_nothing_happened_does_not_pass() -> None:
    plan = draw(1, Shape())
    assert judge(plan, [], frozenset(), 0)["verdict"] == "broken"
    one = act("a", 1, 0, 10)
    assert judge(plan, [one], frozenset(), 1_000_000)["verdict"] == "held"
    assert judge(plan, [one], frozenset(), 60_000_000)["quiet_at_the_end"]


def test_a_receiver_turns_down_what_is_below_the_highest_it_has_seen() -> None:
    one = FencingServer()
    assert [one.accepts("t", token) for token in (1, 3, 2, 3, 4)] == [True, True, False, True, True]
    assert one.accepts("u", 1)


# Plans.


@given(st.integers(0, 10_000), st.sampled_from([3, 5, 12]))
def test_a_plan_is_the_same_for_its_seed_and_comes_back_as_it_was_printed(seed: int, nodes: int) -> None:
    plan = draw(seed, Shape(nodes=nodes))
    assert plan == draw(seed, Shape(nodes=nodes)) == read_plan(json.loads(json.dumps(plan.write())))
    assert all(fault.at_ms + fault.for_ms <= plan.length_ms - 2_000 for fault in plan.faults)


@pytest.mark.parametrize(
    "spoilt",
    [{}, {"seed": 1}, [], {"faults": [{"kind": "flood", "node": "n1", "at_ms": 1, "for_ms": 1}]}],
)
def test_a_plan_that_cant_be_read_is_named(spoilt: object) -> None:
    whole = draw(1, Shape()).write()
    with pytest.raises(InvalidPlanError):
        read_plan({**whole, **spoilt} if isinstance(spoilt, dict) and "faults" in spoilt else spoilt)


# The virtual network.


@pytest.mark.parametrize("seed", range(100, 108))
def test_no_property_breaks_on_the_virtual_network(seed: int) -> None:
    world, why = run(draw(seed, Shape(nodes=5 + seed % 3, voters=3 + 2 * (seed % 2))))
    assert not why and world.counts["runs"] > 10 and world.grants


def test_a_world_is_the_same_for_its_plan() -> None:
    plan = draw(7, Shape(length_ms=12_000))
    first, second = run(plan)[0], run(plan)[0]
    assert first.effects == second.effects and first.counts == second.counts


# Of each breakage a seed that finds it, from `make drill-breakages`.
FOUND = {
    "any-vote": 1, "counted-from-answer": 4, "no-drift-margin": 3, "no-fence": 229, "no-wait-at-election": 16,
    "renewal-unconfirmed": 8, "store-copy-trusted": 8, "token-reused": 0, "vote-not-synced": 48,
}  # fmt: skip


@pytest.mark.parametrize("name", sorted(FOUND))
def test_a_deliberate_breakage_is_found_and_the_whole_code_holds_on_the_same_plan(name: str) -> None:
    broken = LEASE_MUTATIONS[name]
    plan = draw(FOUND[name], broken.shape)
    assert run(plan, broken)[1]
    whole = replace(Mutation(), loss=broken.loss, delay_us=broken.delay_us, stuck=broken.stuck)
    assert not run(plan, whole)[1]


def test_a_plan_is_cut_down_to_what_still_breaks() -> None:
    broken = LEASE_MUTATIONS["no-drift-margin"]
    plan = draw(FOUND["no-drift-margin"], broken.shape)
    short = shrink(plan, broken, tries=25)
    assert len(short.faults) < len(plan.faults) and run(short, broken)[1]


# The walk.


@pytest.mark.parametrize("start", sorted(STARTS))
def test_every_order_of_the_first_steps_holds(start: str) -> None:
    usual = STARTS[start][1]
    found = walk(start, Mutation(), replace(usual, depth=4 if start != "divergent" else 9), seconds=60)
    assert found.complete and not found.broken and found.states > 50


@pytest.fixture(scope="module")
def broken_walk() -> Result:
    """The walk without the rule of Figure 8, by the command: long, and so done once for what it finds and prints."""
    words = ["leases", "--start", "divergent", "--broken", "old-term-commit", "--seconds", "120"]
    return CliRunner().invoke(explore, words)


def test_the_walk_finds_the_commit_of_an_old_terms_entry(broken_walk: Result) -> None:
    """Figure 8 of the paper: the random drill hardly comes there."""
    _, _, reason, *steps = broken_walk.output.splitlines()
    assert "without committed entry" in reason or "differs" in reason
    assert all(step.startswith("      ") for step in steps)
    assert 8 <= len(steps) <= STARTS["divergent"][1].depth


# The command line.


def test_drills_exit_0_1_or_2_and_print_one_object(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    words = ["drill", "leases", "--virtual", "--json", "--jobs", "1"]
    assert call([*words, "--seed", "5", "--for", "8s"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert told["verdict"] == "held" and told["plan"]["seed"] == 5 and told["acts"]
    assert {"seed", "plan", "faults", "acts", "overlaps", "late_accepted", "verdict"} <= told.keys()
    assert call([*words, "--seed", "0", "--broken", "token-reused"]) == 1
    told = json.loads(capsys.readouterr().out)
    path = tmp_path / "plan.json"
    path.write_text(json.dumps(told))
    assert told["verdict"] == "broken" and told["broken"][0]["why"]
    assert call([*words, "--plan", str(path), "--broken", "token-reused"]) == 1  # replayed as printed
    capsys.readouterr()
    assert call([*words, "--plan", str(path)]) == 0
    for wrong in (
        ["--for", "soon"],
        ["--broken", "nothing"],
        ["--voters", "5", "--nodes", "3"],
        ["--nodes", "x"],
    ):
        assert call([*words, *wrong]) == 2
    assert call(["drill", "leases", "--broken", "vote-not-synced"]) == 2  # of the virtual network


def test_a_walk_prints_the_steps_of_what_it_found(broken_walk: Result) -> None:
    assert broken_walk.exit_code == 1 and "hears RequestVote" in broken_walk.output
    told = CliRunner().invoke(explore, ["leases", "--start", "fresh", "--seconds", "0.2", "--json"])
    assert told.exit_code == 2 and json.loads(told.output)["verdict"] == "not complete"


def test_a_fault_by_role_strikes_whoever_has_it() -> None:
    base = draw(3, Shape(length_ms=14_000))
    faults = (Fault(4_000, 3_000, "isolate", "@holder"), Fault(4_000, 2_000, "kill", "@leader"))
    world, why = run(Plan(3, base.nodes, base.voters, 14_000, base.rates, faults))
    assert not why and world.counts["isolate"] == 1 and world.counts["kills"] >= 1


def test_a_link_takes_another_port_where_only_half_of_one_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a drill that does not begin, as another program has datagrams at the port that the system chose.
    async def opened() -> int:
        loop, made = asyncio.get_running_loop(), 0
        create = loop.create_datagram_endpoint

        async def taken_twice(*told: Any, **named: Any) -> Any:
            nonlocal made
            made += 1
            if made <= 2:
                raise OSError(98, "Address already in use")
            return await create(*told, **named)

        monkeypatch.setattr(loop, "create_datagram_endpoint", taken_twice)
        link = Link(("127.0.0.1", 1), random.Random(1))
        await link.open(0)
        assert link.port
        await link.close()
        with pytest.raises(OSError):
            made = 0
            await Link(("127.0.0.1", 1), random.Random(1)).open(link.port)
        return made

    assert asyncio.run(opened()) == 1  # a port that was asked for is not exchanged
