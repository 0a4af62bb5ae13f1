"""The core without a wire: one answer each, nothing twice, repeats, the drain, and late surprises."""

from typing import Any

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.errors import RepeatedWorkError, RequestRejectedError
from marlstep.core.interfaces import Request, ResponseStatus
from marlstep.units import SECOND
from tests.support.node import SETTINGS, Desk


def test_a_request_runs_and_its_result_is_the_answer() -> None:
    desk = Desk()
    desk.submit(1)
    assert desk.backend.told == [("start", "r1")]
    desk.end(1)
    assert [(a.status, a.body) for a in desk.answers[1]] == [(ResponseStatus.DONE, b"result")]
    assert desk.core.in_flight == 0


def test_a_higher_class_pauses_a_lower_run_and_it_resumes() -> None:
    desk = Desk(cores=1)
    desk.submit(1)
    desk.submit(2, "setpoint-cmd")
    assert desk.backend.told == [("start", "r1"), ("pause", "r1"), ("start", "r2")]
    desk.end(1, Outcome.CANCELLED)
    desk.end(2)
    assert desk.backend.told[3:] == [("resume", "r1")]
    assert not desk.answers.get(1)


def test_a_call_goes_out_and_its_reply_comes_back() -> None:
    desk = Desk()
    desk.submit(1, "setpoint-cmd")
    desk.core.call_needed("r1", b"ask")
    desk.clock.settle()
    desk.core.call_ended("r1", Outcome.OK, b"told")
    desk.clock.settle()
    assert desk.backend.told == [("start", "r1"), ("call ask", "r1"), ("supply told", "r1")]


def test_a_call_that_may_have_run_fails_a_setpoint_and_is_not_made_again() -> None:
    desk = Desk()
    desk.submit(1, "setpoint-cmd")
    desk.core.call_needed("r1", b"ask")
    desk.clock.settle()
    desk.core.call_ended("r1", Outcome.RESET)
    desk.clock.advance(500)
    assert desk.verdicts(1) == [ResponseStatus.FAILED]
    assert [what for what, _ in desk.backend.told].count("call ask") == 1


def test_a_request_without_hope_is_answered_at_its_aim_not_at_its_deadline() -> None:
    desk = Desk(cores=1)
    for number in range(1, 4):
        desk.submit(number, "setpoint-cmd")
    desk.clock.advance(1800)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert desk.verdicts(3) == [ResponseStatus.REJECTED]
    assert 0 * SECOND < desk.answers[3][0].retry_after <= SECOND


def test_an_end_after_the_answer_gives_no_second_one() -> None:
    desk = Desk(cores=1)
    desk.submit(1, "setpoint-cmd")
    desk.clock.advance(1800)
    desk.end(1)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert desk.core.in_flight == 0


def test_a_run_that_never_began_is_refused_but_one_that_had_is_failed() -> None:
    # Guards against taking "nothing was started" of a resume for proof that the request never ran.
    desk = Desk(cores=1)
    desk.submit(1, "setpoint-cmd")
    desk.end(1, Outcome.NOT_STARTED)
    assert desk.verdicts(1) == [ResponseStatus.REJECTED]
    desk.submit(2)
    desk.submit(3, "setpoint-cmd")
    desk.end(2, Outcome.CANCELLED)
    desk.end(3)
    desk.end(2, Outcome.NOT_STARTED)
    assert desk.verdicts(2) == [ResponseStatus.FAILED]


def test_a_setpoint_named_again_does_not_run_again_unless_it_never_ran() -> None:
    desk = Desk()
    desk.submit(1, "setpoint-cmd", idempotency_key="boiler-7")
    with pytest.raises(RepeatedWorkError):
        desk.submit(2, "setpoint-cmd", idempotency_key="boiler-7")
    desk.end(1, Outcome.CONNECT_FAILED)
    desk.submit(3, "setpoint-cmd", idempotency_key="boiler-7")
    desk.end(3, Outcome.RESET)
    with pytest.raises(RepeatedWorkError):
        desk.submit(4, "setpoint-cmd", idempotency_key="boiler-7")
    assert [id for what, id in desk.backend.told if what == "start"] == ["r1", "r3"]
    assert (desk.verdicts(1), desk.verdicts(3)) == ([ResponseStatus.REJECTED], [ResponseStatus.FAILED])


KEYED: dict[str, Any] = {
    "classes": [
        *SETTINGS["classes"][:2],
        {
            "name": "keyed",
            "aimUs": 2_000_000,
            "hardLimitUs": 4_000_000,
            "worth": 1.0,
            "semantics": "deduplicated",
            "repeatWindowUs": 5_000_000,
        },
    ]
}


def test_a_repeat_of_keyed_work_shares_its_result() -> None:
    desk = Desk(**KEYED)

    desk.submit(1, "keyed", idempotency_key="k")
    desk.submit(2, "keyed", idempotency_key="k")
    assert desk.verdicts(2) == []
    desk.end(1)
    desk.submit(3, "keyed", idempotency_key="k")
    assert [desk.answers[number][0].body for number in (1, 2, 3)] == [b"result"] * 3
    assert [what for what, _ in desk.backend.told] == ["start"]
    desk.clock.advance(6000)
    desk.submit(4, "keyed", idempotency_key="k")
    assert desk.backend.told[-1] == ("start", "r4")


def test_what_arrives_after_the_grace_is_refused_and_never_run() -> None:
    desk = Desk()
    desk.core.drain(desk.clock.now() + 3.2 * SECOND)
    desk.clock.advance(2490)
    desk.submit(1)
    assert desk.backend.told == [("start", "r1")]
    desk.clock.advance(20)
    assert desk.stopped
    desk.submit(2)
    assert desk.verdicts(2) == [ResponseStatus.REJECTED]
    desk.clock.advance(600)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert desk.core.unanswered == 0


def test_unknown_classes_and_ids_in_hand_are_not_taken() -> None:
    desk = Desk()
    with pytest.raises(RequestRejectedError):
        desk.submit(1, "no-such")
    desk.submit(2)
    with pytest.raises(RequestRejectedError):
        desk.submit(2)
    assert desk.core.unanswered == 1


def test_a_client_that_is_gone_is_owed_nothing_and_its_run_is_stopped() -> None:
    desk = Desk()
    handle = desk.submit(1)
    desk.core.client_disconnected(handle)
    desk.clock.settle()
    assert desk.backend.told == [("start", "r1"), ("abandon", "r1"), ("pause", "r1")]
    desk.end(1, Outcome.CANCELLED)
    assert not desk.answers and desk.core.in_flight == 0


def test_the_due_time_is_kept_even_if_the_module_were_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk(cores=1)
    desk.submit(1)
    monkeypatch.setattr(desk.core._controller, "decide", lambda now, events: [])
    desk.submit(2)
    desk.clock.advance(8700)
    assert (desk.verdicts(1), desk.verdicts(2)) == ([ResponseStatus.EXPIRED], [ResponseStatus.REJECTED])


def test_an_action_that_fails_takes_no_other_of_its_turn_along(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk()
    start = desk.backend.start

    def fail_for_the_first(request: Request) -> None:
        if request.id == "r1":
            raise OSError("out of descriptors")
        start(request)

    monkeypatch.setattr(desk.backend, "start", fail_for_the_first)
    desk.submit(1)
    desk.submit(2)
    assert desk.backend.told == [("start", "r2")]
    desk.clock.advance(2700)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]


def test_a_run_that_goes_on_without_its_call_can_be_paused() -> None:
    desk = Desk(cores=1)
    desk.submit(1)
    desk.core.call_needed("r1", b"ask")
    for _ in range(3):
        desk.clock.advance(200)
        desk.core.call_ended("r1", Outcome.TIMEOUT)
        desk.clock.settle()
    assert desk.backend.told[-1] == ("skip", "r1")
    desk.submit(2, "setpoint-cmd")
    assert ("pause", "r1") in desk.backend.told


def test_a_halt_that_finds_the_run_at_its_call_has_not_paused_it() -> None:
    # Guards against an end at the call being taken for the pause that was asked for before: it is final.
    desk = Desk(cores=1)
    desk.submit(1)
    desk.submit(2, "setpoint-cmd")
    desk.core.call_needed("r1", b"ask")
    desk.end(1, Outcome.CANCELLED)
    assert desk.verdicts(1) == [ResponseStatus.FAILED]


def test_a_paused_request_that_is_given_up_gives_its_slot_back() -> None:
    desk = Desk(cores=1)
    desk.submit(1, late_ms=1900)
    desk.submit(2, "setpoint-cmd")
    desk.end(1, Outcome.CANCELLED)
    desk.clock.advance(750)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert [request.id for request in desk.core._requests] == ["r2"]


def test_a_run_that_ends_unasked_is_over_for_the_module_too() -> None:
    # Guards against a hang of the whole node, seen on the bench twice: a run that was cancelled without a halt was
    # answered here, while the module kept it as paused. When its id came again, the module lost the older entry from
    # its ledger and went round for ever to look for its time.
    desk = Desk(cores=1)
    desk.submit(1)
    desk.end(1, Outcome.CANCELLED)
    assert (
        desk.verdicts(1) == [ResponseStatus.FAILED]
        and desk.core._controller.state.entries.count_unfinished() == 0
    )
    desk.submit(1, "schedule-save")
    desk.end(1)
    desk.clock.advance(10_000)
    assert desk.verdicts(1) == [ResponseStatus.FAILED, ResponseStatus.DONE] and desk.core.in_flight == 0


def test_a_client_that_repeats_id_and_name_of_keyed_work_that_ended_shares_its_result() -> None:
    # Guards against a hang: the module took the new try for the one before it, and followed it in a ring.
    rows = [dict(row) for row in SETTINGS["classes"]]
    rows[1].update(semantics="deduplicated")
    desk = Desk(classes=rows)
    for _ in range(4):
        desk.submit(1, "schedule-save", idempotency_key="k")
        desk.end(1)
    assert desk.verdicts(1) == [ResponseStatus.DONE] * 4
    assert desk.backend.told == [("start", "r1")]
