"""Tests of the retries of senders and of the service metrics."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Attempt
from marlstep.traces.retries import Retries
from tests.frontends.test_parsers import FIXED
from tests.traces.replay.support import CLASSES, make_campaign
from tests.traces.support import REQUEST_CLASSES


@FIXED
@given(
    st.lists(
        st.tuples(
            st.sampled_from(REQUEST_CLASSES),
            st.lists(st.sampled_from(list(ResponseStatus)), min_size=1, max_size=8),
        ),
        min_size=1,
        max_size=6,
    ),
    st.sampled_from(list(Retries)),
    st.integers(0, 900_000),
)
def test_a_setpoint_is_retried_only_if_it_never_ran(
    cases: list[tuple[str, list[ResponseStatus]]], retries: Retries, retry_after_us: int
) -> None:
    senders = make_campaign(retries)
    for number, (request_class, statuses) in enumerate(cases):
        planned = PlannedRequest(number * 1000, request_class, "t", 1000, 1)
        next_attempt: Attempt | None = senders.start_work(number, planned)
        now_us, is_done = planned.at_us, False
        for status in statuses:
            if next_attempt is None:
                break
            assert not is_done and next_attempt.at_us >= now_us
            assert next_attempt.at_us - planned.at_us < CLASSES[request_class].latency_objective_us
            now_us = next_attempt.at_us + 1_000
            senders.record_sent(next_attempt, next_attempt.at_us)
            attempt, next_attempt = (
                next_attempt,
                senders.record_response(next_attempt.id, status, now_us, retry_after_us),
            )
            is_done = status is ResponseStatus.DONE
            if (
                is_done
                or retries is Retries.NONE
                or (request_class == "setpoint-cmd" and status is not ResponseStatus.REJECTED)
            ):
                assert next_attempt is None
            assert senders.record_response(attempt.id, status, now_us) is None
    assert senders.counts["twice"] == senders.counts["answered"] and senders.counts["sent"] >= len(cases)
    assert 0.0 <= senders.metrics.total.service <= 1.0


def test_the_service_weighs_work_in_time_by_priority() -> None:
    senders = make_campaign()
    requests = [
        PlannedRequest(0, "setpoint-cmd", "a", 100, 1),
        PlannedRequest(0, "temp-history", "b", 300, 1),
    ]
    requests += [
        PlannedRequest(0, "temp-history", "b", 300, 1),
        PlannedRequest(0, "schedule-save", "b", 100, 1),
    ]
    attempts = [senders.start_work(number, planned) for number, planned in enumerate(requests)]
    senders.record_response(attempts[0].id, ResponseStatus.DONE, 1_000)
    senders.record_response(attempts[1].id, ResponseStatus.DONE, 1_000, is_partial=True)
    senders.record_response(attempts[2].id, ResponseStatus.DONE, 2_700_000)  # after its latency objective
    senders.record_response(attempts[3].id, ResponseStatus.REJECTED, 1_000)
    assert senders.metrics.total.service == (300 + 180) / (300 + 300 + 300 + 100)
    assert senders.metrics.report()["by_class"] == {
        "schedule-save": 0.0,
        "setpoint-cmd": 1.0,
        "temp-history": 0.3,
    }
    assert senders.metrics.by_tenant["a"].service == 1.0 and senders.open == 0 and senders.overdue(10**9) == 0
