"""Results of operators' orders, and the limit on pending orders."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Any

import pytest

from marlstep.cluster.errors import TooManyOrdersError
from marlstep.cluster.order_tracker import OrderTracker
from marlstep.leases.client import MAX_OUTBOUND_COMMANDS, GroupClient
from marlstep.leases.settings import LeaseSettings
from marlstep.replicated_config.commands import ReadDocument
from tests.support.node import START

COMMAND = ReadDocument("settings")


def make_client() -> GroupClient:
    return GroupClient("n1", "b1", ("n1",), LeaseSettings(), random.Random(1))


def test_a_result_is_recorded_with_its_order() -> None:
    results: OrderedDict[int, dict[str, Any]] = OrderedDict()
    client = make_client()
    tracker = OrderTracker(client, results, limit=10)
    accepted = tracker.propose(START, "get", COMMAND)
    tracker.collect()
    assert results == {}
    client.results[accepted["asked"]] = {"version": 3}
    tracker.collect()
    assert results == {accepted["asked"]: {"what": "get", "version": 3}}


def test_the_oldest_results_beyond_the_limit_are_discarded() -> None:
    results: OrderedDict[int, dict[str, Any]] = OrderedDict()
    tracker = OrderTracker(make_client(), results, limit=2)
    for number in range(4):
        tracker.record(number, {"what": "get"})
    assert list(results) == [2, 3]


def test_an_order_is_rejected_while_too_many_commands_are_pending() -> None:
    tracker = OrderTracker(make_client(), OrderedDict(), limit=2)
    for _ in range(MAX_OUTBOUND_COMMANDS):
        tracker.propose(START, "get", COMMAND)
    with pytest.raises(TooManyOrdersError, match="too much is asked for already"):
        tracker.propose(START, "get", COMMAND)
