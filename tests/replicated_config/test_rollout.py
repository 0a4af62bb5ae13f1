"""The leader's evaluation of canary rollouts."""

from __future__ import annotations

from tests.replicated_config.support import RolloutHarness


def test_a_rollout_is_promoted_after_its_duration_if_its_nodes_performed_no_worse() -> None:
    harness = RolloutHarness()
    assert not harness.evaluate(0, adopted=False) and not harness.evaluate(1500, adopted=False)
    assert not harness.evaluate(500)  # all of its nodes have activated it: its duration starts here
    assert not harness.evaluate(1900, a=(200, 4, 0), b=(150, 3, 1), c=(100, 2, 0))
    [(promote, reason)] = harness.evaluate(200)
    assert (
        promote and "3 refused and 1 failed of 150 there, 6 refused and 0 failed of 300 elsewhere" in reason
    )


def test_a_finished_rollout_is_not_proposed_until_a_process_that_started_meanwhile_acknowledges() -> None:
    harness = RolloutHarness(min_requests=0)
    harness.evaluate(0)
    harness.log.grant_lease("d/1")
    # Otherwise, the leader would propose the promotion at every evaluation.
    assert not harness.evaluate(2_100) and not harness.evaluate(100)
    harness.log.acknowledge("d/1")
    assert harness.evaluate(100)[0][0]


def test_a_rollout_is_withdrawn_immediately_if_it_performs_worse_than_chance_explains() -> None:
    harness = RolloutHarness()
    harness.evaluate(0)
    assert not harness.evaluate(100, a=(500, 5, 0), b=(60, 30, 0))  # too few requests were observed
    [(promote, reason)] = harness.evaluate(100, a=(500, 5, 0), b=(60, 20, 10))
    assert not promote and "do worse" in reason
    few = RolloutHarness(min_requests=20)
    few.evaluate(0)
    # 10% against 2.5%: with so few requests, this may be chance.
    assert not few.evaluate(100, a=(40, 1, 0), b=(20, 2, 0))


def test_a_rollout_is_withdrawn_if_a_process_ends_too_few_requests_are_seen_or_a_node_does_not_activate_it() -> (
    None
):
    harness = RolloutHarness()
    harness.evaluate(0)
    harness.log.expire_lease("b/1")
    assert "b/1 has ended" in harness.evaluate(100)[0][1]
    idle = RolloutHarness()
    idle.evaluate(0)
    assert "only 0 requests" in idle.evaluate(2100)[0][1]
    unadopted = RolloutHarness()
    unadopted.evaluate(0, adopted=False)
    assert "b did not act" in unadopted.evaluate(12_100, adopted=False)[0][1]
    unadopted.monitor.become_leader()  # a new leader starts the observation again
    assert not unadopted.evaluate(100, adopted=False)
