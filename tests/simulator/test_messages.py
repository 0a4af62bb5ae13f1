"""Conversion of events and actions between the simulator's wire format and the controller's types."""

from __future__ import annotations

import json
from typing import Any

import pytest

from marlstep.admission.actions import Action, Advertise, Call, Reject, SetTimer
from marlstep.admission.events import Arrival, CallEnded, Drain, Event, Outcome, RunEnded, TimerDue
from marlstep.simulator.errors import MissingFieldError, UnknownEventError
from marlstep.simulator.messages import check_event_name, read_event, write_action, write_crash


@pytest.mark.parametrize(
    ("raw", "event"),
    [
        (
            {"m": "request", "id": "r", "class": "read", "kb": 3.0, "dropDeadUs": 9, "prio": 0.5},
            Arrival("r", "read", 3.0, caller=0, unread_us=0, caller_deadline_at=9, rank=0.5),
        ),
        (
            {"m": "request", "id": "r", "class": "read", "kb": 3.0, "dropDeadUs": 0, "team": 0, "prior": 0},
            Arrival("r", "read", 3.0, caller=0, unread_us=0),
        ),
        ({"m": "depReply", "id": "r", "code": "turned_away"}, CallEnded("r", Outcome.REJECTED, 0)),
        (
            {"m": "workDone", "id": "r", "code": "not_sent", "elapsedUs": 5},
            RunEnded("r", Outcome.NOT_STARTED, 5),
        ),
        ({"m": "drain", "dropDeadUs": 7}, Drain(7)),
        ({"m": "tickDue", "keyBack": 4, "report": {"cpu_busy": 0.5, "rif": 3}}, TimerDue(4, {"cpu": 0.5})),
    ],
)
def test_an_event_is_read_by_its_wire_keys(raw: dict[str, Any], event: Event) -> None:
    assert read_event(raw) == event


def test_the_error_for_an_unknown_outcome_names_the_outcome() -> None:
    with pytest.raises(MissingFieldError, match="missing or unknown 'vanished'"):
        read_event({"m": "workDone", "id": "r", "code": "vanished"})


def test_an_unknown_event_is_an_error() -> None:
    with pytest.raises(UnknownEventError):
        check_event_name("dance")


@pytest.mark.parametrize(
    ("action", "written"),
    [
        (Reject("r", 250, True), {"m": "overloadReply", "id": "r", "retryAfterUs": 250, "giveUp": True}),
        (Call("r", 900), {"m": "callDep", "id": "r", "tryUntilUs": 900}),
        (Advertise(2.5), {"m": "announce", "value": 2.5}),
        (SetTimer(30, 77), {"m": "arm", "offsetUs": 30, "keyBack": 77}),
    ],
)
def test_an_action_is_written_with_the_number_of_its_instance(
    action: Action, written: dict[str, Any]
) -> None:
    assert json.loads(write_action(3, action)) == written | {"serverId": 3}


def test_a_crash_message_holds_the_type_and_text_of_the_error() -> None:
    assert json.loads(write_crash(3, IndexError("out of range"))) == {
        "m": "die",
        "serverId": 3,
        "msg": "IndexError: out of range",
    }
