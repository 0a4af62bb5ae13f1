"""Tests of the retries of senders and of the service metrics."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Attempt
from marlstep.traces.retries import Retries
from tests.frontends.test_parsers import FIXED
from tests.traces.replay.support import CLASSES, campaign
from tests.traces.support import KINDS


@FIXED
@given(
    st.lists(
        st.tuples(
            st.sampled_from(KINDS), st.lists(st.sampled_from(list(ResponseStatus)), min_size=1, max_size=8)
        ),
        min_size=1,
        max_size=6,
    ),
    st.sampled_from(list(Retries)),
    st.integers(0, 900_000),
)
def test_a_setpoint_is_retried_only_if_it_never_ran(
    works: list[tuple[str, list[ResponseStatus]]], retries: Retries, after: int
) -> None:
    senders = campaign(retries)
    for number, (kind, verdicts) in enumerate(works):
        planned = PlannedRequest(number * 1000, kind, "t", 1000, 1)
        following: Attempt | None = senders.begin(number, planned)
        now, done = planned.at_us, False
        for verdict in verdicts:
            if following is None:
                break
            assert not done and following.at_us >= now
            assert following.at_us - planned.at_us < CLASSES[kind].latency_objective_us
            now = following.at_us + 1_000
            senders.record_sent(following, following.at_us)
            last, following = following, senders.record_response(following.id, verdict, now, after)
            done = verdict is ResponseStatus.DONE
            if (
                done
                or retries is Retries.NONE
                or (kind == "setpoint-cmd" and verdict is not ResponseStatus.REJECTED)
            ):
                assert following is None
            assert senders.record_response(last.id, verdict, now) is None
    assert senders.counts["twice"] == senders.counts["answered"] and senders.counts["sent"] >= len(works)
    assert 0.0 <= senders.figures.total.service <= 1.0


def test_the_service_weighs_work_in_time_by_priority() -> None:
    senders = campaign()
    plans = [PlannedRequest(0, "setpoint-cmd", "a", 100, 1), PlannedRequest(0, "temp-history", "b", 300, 1)]
    plans += [PlannedRequest(0, "temp-history", "b", 300, 1), PlannedRequest(0, "schedule-save", "b", 100, 1)]
    attempts = [senders.begin(number, planned) for number, planned in enumerate(plans)]
    senders.record_response(attempts[0].id, ResponseStatus.DONE, 1_000)
    senders.record_response(attempts[1].id, ResponseStatus.DONE, 1_000, is_partial=True)
    senders.record_response(attempts[2].id, ResponseStatus.DONE, 2_700_000)  # after its latency objective
    senders.record_response(attempts[3].id, ResponseStatus.REJECTED, 1_000)
    assert senders.figures.total.service == (300 + 180) / (300 + 300 + 300 + 100)
    assert senders.figures.report()["by_class"] == {
        "schedule-save": 0.0,
        "setpoint-cmd": 1.0,
        "temp-history": 0.3,
    }
    assert senders.figures.by_tenant["a"].service == 1.0 and senders.open == 0 and senders.overdue(10**9) == 0
