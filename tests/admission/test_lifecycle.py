"""Tests of final responses other than the result of a run."""

from __future__ import annotations

import pytest

from marlstep.admission.actions import Fail, Reject
from marlstep.admission.events import ClientDisconnected, Drain
from marlstep.admission.lifecycle import forbids_failover
from tests.support.helpers import MS, ControllerDriver


@pytest.mark.parametrize(
    ("weight", "is_draining", "forbidden"),
    [(1.0, False, True), (3.0, False, False), (1.0, True, False), (3.0, True, False)],
)
def test_only_the_highest_class_may_fail_over_unless_the_server_drains(
    weight: float, is_draining: bool, forbidden: bool
) -> None:
    assert forbids_failover(weight, highest_weight=3.0, is_draining=is_draining) is forbidden


def test_a_request_that_never_ran_is_rejected_at_its_deadline_and_one_that_ran_is_failed() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("running", "high")
    server.arrive("queued")
    server.tick(after_ms=4_000)
    assert [action.id for action in server.actions_of(Reject)] == ["queued"]
    assert [action.id for action in server.actions_of(Fail)] == ["running"]


def test_a_draining_server_sends_the_longest_retry_after_that_callers_respect() -> None:
    server = ControllerDriver(cores=1, memory_kb=100.0)
    server.step(Drain(server.now + 60_000 * MS))
    server.arrive("late", after_ms=2_000)
    [rejection] = server.actions_of(Reject)
    assert rejection.retry_after_us == server.settings.max_retry_after_us
    assert not rejection.no_failover


def test_a_queued_request_of_a_disconnected_client_gets_no_response_and_its_key_is_forgotten() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("running", "high")
    server.arrive("keyed", "keyed")
    assert server.step(ClientDisconnected("keyed")) == [("ForgetKey", "keyed")]
