"""Conversion of the simulator's messages: events from JSON objects, actions to JSON lines.

`READERS` has a function for each message name, `WRITERS` one for each action type. Each function pairs the wire
keys with the fields of the event or action.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from marlstep.admission.actions import (
    Action,
    Advertise,
    Attach,
    Call,
    Fail,
    ForgetKey,
    Health,
    IdleLimit,
    KeepKey,
    Log,
    Preempt,
    Reject,
    Run,
    SetTimer,
    SkipCall,
)
from marlstep.admission.events import (
    Arrival,
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Outcome,
    RunEnded,
    TimerDue,
)
from marlstep.simulator.errors import MissingFieldError, UnknownEventError

RawMessage = dict[str, Any]

# Outcomes and gauges of the controller by their names on the wire.
OUTCOMES = {
    "served": Outcome.OK,
    "server_error": Outcome.ERROR,
    "turned_away": Outcome.REJECTED,
    "no_answer": Outcome.TIMEOUT,
    "no_connection": Outcome.CONNECT_FAILED,
    "connection_lost": Outcome.RESET,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.NOT_STARTED,
}
GAUGES = {"cpu_busy": "cpu", "runnable": "runq", "mem_used": "memory", "sockets": "conns"}


def _read_arrival(raw: RawMessage) -> Arrival:
    return Arrival(
        id=raw["id"],
        request_class=raw["class"],
        memory_kb=raw["kb"],
        caller=raw.get("neighbour") or 0,
        unread_us=raw.get("unreadForUs") or 0,
        caller_deadline_at=raw.get("dropDeadUs") or None,
        tenant=raw.get("team") or None,
        key=raw.get("entity"),
        is_retry=bool(raw.get("againByClient")),
        rank=raw.get("prio") or 0.0,
        cost_hint_us=raw.get("weightHintUs"),
        prior=raw.get("prior") or None,
        is_write=bool(raw.get("mutates")),
    )


def _read_gauges(raw: dict[str, float]) -> dict[str, float]:
    return {GAUGES[name]: value for name, value in raw.items() if name in GAUGES}


# Keyed by the message name in `m`. A reader raises KeyError for a missing key or an unknown outcome.
READERS: dict[str, Callable[[RawMessage], Event]] = {
    "request": _read_arrival,
    "timedOutClient": lambda raw: ClientDisconnected(raw["id"]),
    "needsDep": lambda raw: CallNeeded(raw["id"]),
    "depReply": lambda raw: CallEnded(raw["id"], OUTCOMES[raw["code"]], raw.get("elapsedUs") or 0),
    "workDone": lambda raw: RunEnded(raw["id"], OUTCOMES[raw["code"]], raw.get("elapsedUs") or 0),
    "drain": lambda raw: Drain(raw["dropDeadUs"]),
    "tickDue": lambda raw: TimerDue(raw["keyBack"], _read_gauges(raw.get("report") or {})),
}


def required_field(raw: RawMessage, key: str) -> object:
    """Return the value of a field.

    Raises:
        MissingFieldError: the message has no such field.
    """
    if key not in raw:
        raise MissingFieldError(key)
    return raw[key]


def check_event_name(name: str) -> None:
    """Check that a message name is an event of the protocol.

    Raises:
        UnknownEventError: the protocol has no event of this name.
    """
    if name not in READERS:
        raise UnknownEventError(name)


def read_event(raw: RawMessage) -> Event:
    """Convert a message to an event; its name must have passed `check_event_name`.

    Raises:
        MissingFieldError: a field is missing, or an outcome is unknown.
    """
    try:
        return READERS[raw["m"]](raw)
    except KeyError as error:
        raise MissingFieldError(error.args[0]) from error


def _write_rejection(action: Reject) -> RawMessage:
    return {
        "m": "overloadReply",
        "id": action.id,
        "retryAfterUs": action.retry_after_us,
        "giveUp": action.no_failover,
    }


WRITERS: dict[type[Any], Callable[[Any], RawMessage]] = {
    Run: lambda action: {"m": "process", "id": action.id},
    Preempt: lambda action: {"m": "abortWork", "id": action.id},
    Reject: _write_rejection,
    Fail: lambda action: {"m": "abort", "id": action.id},
    KeepKey: lambda action: {"m": "retain", "id": action.id, "lifetimeUs": action.lifetime_us},
    ForgetKey: lambda action: {"m": "unpin", "id": action.id},
    Attach: lambda action: {"m": "attach", "id": action.id},
    Call: lambda action: {"m": "callDep", "id": action.id, "tryUntilUs": action.until_us},
    SkipCall: lambda action: {"m": "bypass", "id": action.id},
    Advertise: lambda action: {"m": "announce", "value": action.value},
    Health: lambda action: {"m": "readiness", "stored": action.stored, "on": action.good},
    IdleLimit: lambda action: {"m": "idleLimit", "lifetimeUs": action.after_us},
    SetTimer: lambda action: {"m": "arm", "offsetUs": action.after_us, "keyBack": action.tag},
    Log: lambda action: {"m": "log", "msg": action.text},
}


def write_action(server: int, action: Action) -> bytes:
    """Return an action of the instance with number `server` as a JSON line, without the line break."""
    return orjson.dumps(WRITERS[type(action)](action) | {"serverId": server})


def write_crash(server: int, error: Exception) -> bytes:
    """Return the JSON line which reports that the controller of instance `server` raised `error`."""
    text = f"{type(error).__name__}: {error}"
    return orjson.dumps({"m": "die", "serverId": server, "msg": text})
