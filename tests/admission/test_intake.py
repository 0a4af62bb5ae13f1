"""Tests of queueing, attaching and rejecting arrivals."""

from __future__ import annotations

import pytest

from marlstep.admission.intake import must_share_result, quota_burst
from marlstep.admission.settings import TenantSettings
from tests.admission.entries import queued_entry
from tests.support.helpers import KEYED, LOW, ControllerDriver


def test_an_arrival_beyond_the_queue_memory_is_rejected_at_once() -> None:
    # A run of 40 kB and four queued requests of 10 kB do not exceed 80 kB.
    server = ControllerDriver(cores=1, memory_kb=100.0)
    for index in range(5):
        assert ("Reject", f"r{index}") not in server.arrive(f"r{index}")
    assert server.arrive("over") == [("Reject", "over")]


def test_requests_past_their_objective_are_evicted_from_a_full_queue() -> None:
    server = ControllerDriver(cores=1, memory_kb=100.0)
    for index in range(5):
        server.arrive(f"r{index}")
    server.tick(after_ms=2001)
    assert ("Reject", "new") not in server.arrive("new")


def test_a_request_that_could_never_run_is_rejected_at_once() -> None:
    # Guards against a client that fills the queue with requests that cannot run, so that all others are rejected.
    server = ControllerDriver(cores=1, memory_kb=1_000.0, running_memory_factor=4.0)
    assert server.arrive("huge", memory_kb=300.0) == [("Reject", "huge")]
    assert server.arrive("large", memory_kb=200.0) == [("Run", "large")]


@pytest.mark.parametrize(("quota_per_s", "burst"), [(0.0, 1.0), (0.3, 1.0), (12.0, 12.0)])
def test_the_quota_burst_is_one_second_of_quota_but_at_least_one_request(
    quota_per_s: float, burst: float
) -> None:
    assert quota_burst(quota_per_s) == burst


def test_a_keyed_repeat_shares_the_result_of_an_attempt_that_ran_or_is_unknown() -> None:
    repeat = queued_entry(KEYED)
    assert must_share_result(repeat, "prior", queued_entry(KEYED, has_run=True))
    assert must_share_result(repeat, "prior", None)


def test_a_keyed_repeat_may_run_if_the_earlier_attempt_is_known_not_to_have_run() -> None:
    assert not must_share_result(queued_entry(KEYED), "prior", queued_entry(KEYED))


def test_an_arrival_without_key_or_prior_shares_no_result() -> None:
    assert not must_share_result(queued_entry(KEYED), None, None)
    assert not must_share_result(queued_entry(LOW), "prior", queued_entry(LOW, has_run=True))


def test_requests_beyond_the_quota_and_of_unknown_tenants_get_a_lower_weight() -> None:
    server = ControllerDriver(tenants=(TenantSettings("riad", 0.5, 6.0),), over_quota_factor=0.25)
    server.arrive("first", tenant="riad")
    server.arrive("second", tenant="riad")
    server.arrive("third", tenant="riad")
    server.arrive("unknown", tenant="souk")
    server.arrive("none")
    weights = {id: entry.priority_weight for id, entry in server.controller.state.entries.by_id.items()}
    assert weights == {"first": 1.0, "second": 1.0, "third": 0.25, "unknown": 0.25, "none": 1.0}
