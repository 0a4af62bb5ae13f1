"""Results of operators' orders, and the limit on pending orders."""

from __future__ import annotations

import random

import pytest

from marlstep.cluster.errors import TooManyOrdersError
from marlstep.cluster.order_tracker import OrderResults, OrderTracker
from marlstep.leases.client import MAX_OUTBOUND_COMMANDS, GroupClient
from marlstep.leases.settings import LeaseSettings
from marlstep.replicated_config.commands import ReadDocument
from tests.support.node import START

COMMAND = ReadDocument("settings")


def make_client(process_id: str = "b1") -> GroupClient:
    return GroupClient("n1", process_id, ("n1",), LeaseSettings(), random.Random(1))


def make_tracker(client: GroupClient, limit: int = 10) -> tuple[OrderTracker, OrderResults]:
    results = OrderResults(client.holder)
    return OrderTracker(client, results, limit), results


def test_a_result_is_recorded_with_its_order() -> None:
    client = make_client()
    tracker, results = make_tracker(client)
    accepted = tracker.propose(START, "get", COMMAND)
    tracker.collect()
    assert results.to_json() == {}
    assert results.look_up("n1/b1", accepted["asked"]) == {"state": "pending"}
    client.results[1] = {"version": 3}
    tracker.collect()
    assert results.to_json() == {str(accepted["asked"]): {"what": "get", "version": 3}}
    assert results.look_up("n1/b1", accepted["asked"]) == {
        "state": "done",
        "result": {"what": "get", "version": 3},
    }


def test_the_oldest_results_beyond_the_limit_are_discarded() -> None:
    tracker, results = make_tracker(make_client(), limit=2)
    for number in range(4):
        tracker.record(number, {"what": "get"})
    assert list(results.to_json()) == [str(results.number_of(number)) for number in (2, 3)]
    assert results.look_up("n1/b1", results.number_of(1))["state"] == "unknown"


def test_a_process_never_returns_its_own_result_for_an_order_that_another_one_took() -> None:
    # Guards against order numbers that two processes of a node both give, each for another order.
    predecessor, _ = make_tracker(make_client("0000000000b1"))
    successor_client = make_client("0000000000b2")
    successor, successor_results = make_tracker(successor_client)
    taken = predecessor.propose(START, "put", COMMAND)
    successor.propose(START, "get", COMMAND)
    successor_client.results[1] = {"version": 3}
    successor.collect()
    assert str(taken["asked"]) not in successor_results.to_json()
    looked_up = successor_results.look_up(taken["process"], taken["asked"])
    assert looked_up["state"] == "unknown" and "may have had an effect" in looked_up["why"]


def test_processes_whose_numbers_are_equal_are_told_apart_by_name() -> None:
    tracker, _ = make_tracker(make_client("1000000000b1"))
    other_client = make_client("2000000000b1")
    other, other_results = make_tracker(other_client)
    taken, other_taken = tracker.propose(START, "put", COMMAND), other.propose(START, "get", COMMAND)
    other_client.results[1] = {"version": 3}
    other.collect()
    assert taken["asked"] == other_taken["asked"] <= 1 << 53
    assert other_results.look_up(taken["process"], taken["asked"])["state"] == "unknown"


def test_an_order_is_rejected_while_too_many_commands_are_pending() -> None:
    tracker, _ = make_tracker(make_client(), limit=2)
    for _ in range(MAX_OUTBOUND_COMMANDS):
        tracker.propose(START, "get", COMMAND)
    with pytest.raises(TooManyOrdersError, match="too much is asked for already"):
        tracker.propose(START, "get", COMMAND)
