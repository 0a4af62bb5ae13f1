"""The adapter on hand-made wire text."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from marlstep.simulator.adapter import Link, WireError, serve
from marlstep.simulator.configuration import read_settings

CONF: dict[str, Any] = {
    "classes": [
        {
            "name": "read",
            "semantics": "idempotent",
            "aimUs": 2_000_000,
            "hardLimitUs": 4_000_000,
            "repeatWindowUs": 5_000_000,
            "worth": 1.0,
            "lateShare": 0.0,
        },
        {
            "name": "book",
            "semantics": "deduplicated",
            "aimUs": 2_000_000,
            "hardLimitUs": 4_000_000,
            "repeatWindowUs": 8_000_000,
            "worth": 3.0,
            "lateShare": 0.0,
        },
    ],
    "familyInfo": {"cpus": 2, "ramKb": 1000.0, "runMemFactor": 4.0, "keyKb": 5.0, "halt": "suspend"},
    "rules": {
        "answerSlackUs": 60_000,
        "drainGraceUs": 1_000_000,
        "fallMultiple": 8.0,
        "fallUs": 1_500_000,
    },
    "caps": {},
    "resolutionUs": 5000,
}
CREATE = {"m": "create", "serverId": 3, "rngSeed": 7, "conf": CONF}


def a_request(id: str, **other: Any) -> dict[str, Any]:
    plain = {"m": "request", "serverId": 3, "id": id, "class": "read", "kb": 10.0, "neighbour": 1}
    return plain | {"dropDeadUs": 9_000_000, "unreadForUs": 0, "prior": None} | other


def run(*batches: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    """Give each batch of messages at clock 5 s, 5.001 s and so on; return the replies without `done`."""
    text = ""
    for index, batch in enumerate(batches):
        mark = {"m": "mark", "clockUs": 5_000_000 + 1000 * index}
        text += "".join(json.dumps(line) + "\n" for line in [mark, *batch, {"m": "eob"}])
    sink = io.BytesIO()
    serve(io.BytesIO(text.encode()), sink)
    replies: list[list[dict[str, Any]]] = [[]]
    for line in sink.getvalue().decode().splitlines():
        message = json.loads(line)
        if message["m"] == "done":
            replies.append([])
        else:
            replies[-1].append(message)
    assert replies.pop() == []
    return replies


def said(reply: list[dict[str, Any]]) -> list[tuple[str, str]]:
    return [(line["m"], line["id"]) for line in reply if "id" in line]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run([]) == [[]]


def test_a_start_gives_health() -> None:
    [reply] = run([CREATE])
    assert [line["m"] for line in reply] == ["readiness"]
    assert all(line["serverId"] == 3 for line in reply)


def test_a_request_is_run_with_its_id_as_given() -> None:
    assert said(run([CREATE], [a_request("r-1")])[1]) == [("process", "r-1")]


def test_a_kept_request_is_retained_before_it_is_processed() -> None:
    reply = run([CREATE], [a_request("k", **{"class": "book"})])[1]
    assert said(reply) == [("retain", "k"), ("process", "k")]
    assert reply[0]["lifetimeUs"] >= 8_000_000


def test_a_repeat_is_attached() -> None:
    first, again = a_request("k", **{"class": "book"}), a_request("k2", **{"class": "book", "prior": "k"})
    assert said(run([CREATE], [first], [again])[2]) == [("attach", "k2")]


def test_outcomes_and_gauges_are_understood() -> None:
    done = {"m": "workDone", "serverId": 3, "id": "r", "code": "served", "elapsedUs": 5}
    tick = {"m": "tickDue", "serverId": 3, "keyBack": 0, "report": {"cpu_busy": 0.5, "x9": 1}}
    replies = run([CREATE], [a_request("r")], [done, tick])
    assert replies[2] == []
    assert [line["m"] for line in replies[1]] == ["process", "arm"]


def test_a_death_discards_everything_and_the_same_number_may_start_again() -> None:
    replies = run([CREATE], [a_request("a")], [{"m": "down", "serverId": 3}, CREATE], [a_request("b")])
    assert [line["m"] for line in replies[2]] == ["readiness"]
    assert said(replies[3]) == [("process", "b")]


def test_unknown_keys_are_ignored() -> None:
    odd = CREATE | {"conf": CONF | {"news": 1}, "more": [1]}
    assert said(run([odd], [a_request("a", colour="red")])[1]) == [("process", "a")]


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("nonsense", "line 2: not JSON"),
        ('{"serverId":3}', "line 2: not a message"),
        ('{"m":"dance","serverId":3}', "line 2: dance: unknown event"),
        ('{"m":"request","serverId":8,"id":"a"}', "line 2: request: unknown instance 8"),
        ('{"m":"drain"}', "line 2: drain: missing or unknown 'serverId'"),
        ('{"m":"create","serverId":3,"rngSeed":1,"conf":{}}', "conf.familyInfo is missing"),
    ],
)
def test_what_is_malformed_is_told_in_one_line(line: str, words: str) -> None:
    text = '{"m":"mark","clockUs":5}\n' + line + '\n{"m":"eob"}\n'
    command = [sys.executable, "-m", "marlstep.simulator"]
    done = subprocess.run(command, input=text, capture_output=True, text=True, check=False)
    assert done.returncode != 0 and done.stdout == ""
    assert words in done.stderr and done.stderr.count("\n") == 1


def test_a_missing_field_is_named() -> None:
    request = a_request("a")
    del request["kb"]
    with pytest.raises(WireError, match="line 5: request: missing or unknown 'kb'"):
        run([CREATE], [request])


def test_the_end_of_input_is_a_clean_exit() -> None:
    command = [sys.executable, "-m", "marlstep.simulator"]
    done = subprocess.run(command, input="", capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_an_exception_in_a_controller_is_reported_for_that_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    link = Link()
    link.batch(1, [(1, CREATE), (2, CREATE | {"serverId": 4})])

    def broken(now: int, events: object) -> list[Any]:
        raise IndexError("out of range")

    monkeypatch.setattr(link.instances[3], "decide", broken)
    replies = [
        json.loads(line) for line in link.batch(2, [(1, a_request("a")), (2, a_request("b", serverId=4))])
    ]
    assert replies[0] == {"m": "die", "serverId": 3, "msg": "IndexError: out of range"}
    assert said(replies[1:]) == [("process", "b")]


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        (("familyInfo", "cpus"), None, "conf.familyInfo.cpus is missing"),
        (("familyInfo", "cpus"), 0, "cores must be at least 1"),
        (("familyInfo", "cpus"), "six", "cores must be of type int"),
        (("familyInfo", "halt"), "maybe", "conf.familyInfo.halt must be one of"),
        (("rules", "fallMultiple"), -1.0, "fall_multiple must be at least 1"),
        (("classes",), [], "classes must name at least one class"),
        (("resolutionUs",), 0, "tick_us must be at least 1"),
    ],
)
def test_a_bad_setting_is_named_by_its_path(path: tuple[str, ...], value: Any, words: str) -> None:
    conf = json.loads(json.dumps(CONF))
    table = conf
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = value
    with pytest.raises(ValueError, match=words):
        read_settings(conf)


def test_absent_options_mean_that_a_feature_is_off() -> None:
    told = read_settings(CONF)
    assert (
        told.tenants == () and told.load_signal == "none" and told.dependency == "none" and not told.warms_up
    )
