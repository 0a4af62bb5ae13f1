"""The simulator adapter with hand-written wire messages: replies, malformed input and the lifetime of instances."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from marlstep.simulator.adapter import SimulatedServers, serve
from marlstep.simulator.errors import WireError
from tests.support.simulator_wire import CONF

CREATE = {"m": "create", "serverId": 3, "rngSeed": 7, "conf": CONF}


def request_message(id: str, **other: Any) -> dict[str, Any]:
    message = {"m": "request", "serverId": 3, "id": id, "class": "read", "kb": 10.0, "neighbour": 1}
    return message | {"dropDeadUs": 9_000_000, "unreadForUs": 0, "prior": None} | other


def serve_batches(*batches: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    """Serve the batches at 5 s, 5.001 s and so on of simulated time; return the replies without `done`."""
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


def names_and_ids(reply: list[dict[str, Any]]) -> list[tuple[str, str]]:
    return [(line["m"], line["id"]) for line in reply if "id" in line]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert serve_batches([]) == [[]]


def test_a_created_instance_reports_its_health() -> None:
    [reply] = serve_batches([CREATE])
    assert [line["m"] for line in reply] == ["readiness"]
    assert all(line["serverId"] == 3 for line in reply)


def test_an_admitted_request_is_processed_under_its_id() -> None:
    assert names_and_ids(serve_batches([CREATE], [request_message("r-1")])[1]) == [("process", "r-1")]


def test_a_deduplicated_request_is_retained_before_it_is_processed() -> None:
    reply = serve_batches([CREATE], [request_message("k", **{"class": "book"})])[1]
    assert names_and_ids(reply) == [("retain", "k"), ("process", "k")]
    assert reply[0]["lifetimeUs"] >= 8_000_000


def test_a_repeated_request_is_attached_to_the_first() -> None:
    first, repeat = (
        request_message("k", **{"class": "book"}),
        request_message("k2", **{"class": "book", "prior": "k"}),
    )
    assert names_and_ids(serve_batches([CREATE], [first], [repeat])[2]) == [("attach", "k2")]


def test_run_outcomes_and_gauges_are_accepted() -> None:
    work_done = {"m": "workDone", "serverId": 3, "id": "r", "code": "served", "elapsedUs": 5}
    tick = {"m": "tickDue", "serverId": 3, "keyBack": 0, "report": {"cpu_busy": 0.5, "x9": 1}}
    replies = serve_batches([CREATE], [request_message("r")], [work_done, tick])
    assert replies[2] == []
    assert [line["m"] for line in replies[1]] == ["process", "arm"]


def test_an_instance_that_went_down_can_be_created_again_with_the_same_number() -> None:
    replies = serve_batches(
        [CREATE], [request_message("a")], [{"m": "down", "serverId": 3}, CREATE], [request_message("b")]
    )
    assert [line["m"] for line in replies[2]] == ["readiness"]
    assert names_and_ids(replies[3]) == [("process", "b")]


def test_unknown_keys_are_ignored() -> None:
    create = CREATE | {"conf": CONF | {"news": 1}, "more": [1]}
    assert names_and_ids(serve_batches([create], [request_message("a", colour="red")])[1]) == [
        ("process", "a")
    ]


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("nonsense", "line 2: not JSON"),
        ('{"serverId":3}', "line 2: not a message"),
        ('{"m":["mark"]}', "line 2: not a message"),
        ('{"m":"dance\\nand sing","serverId":3}', r"line 2: not a message: 'dance\nand sing'"),
        ('{"m":"mark","clockUs":true}', "line 2: mark: clockUs must be a whole number, got True"),
        ('{"m":"dance","serverId":3}', "line 2: dance: unknown event"),
        ('{"m":"request","serverId":8,"id":"a"}', "line 2: request: unknown instance 8"),
        ('{"m":"drain"}', "line 2: drain: missing or unknown 'serverId'"),
        ('{"m":"create","serverId":3,"rngSeed":1,"conf":{}}', "conf.familyInfo is missing"),
    ],
)
def test_malformed_input_is_reported_on_one_line(line: str, expected: str) -> None:
    text = '{"m":"mark","clockUs":5}\n' + line + '\n{"m":"eob"}\n'
    command = [sys.executable, "-m", "marlstep.simulator"]
    completed = subprocess.run(command, input=text, capture_output=True, text=True, check=False)
    assert completed.returncode != 0 and completed.stdout == ""
    assert expected in completed.stderr and completed.stderr.count("\n") == 1


def test_the_error_for_a_missing_field_names_the_field() -> None:
    request = request_message("a")
    del request["kb"]
    with pytest.raises(WireError, match="line 5: request: missing or unknown 'kb'"):
        serve_batches([CREATE], [request])


def test_the_adapter_exits_without_an_error_at_the_end_of_input() -> None:
    command = [sys.executable, "-m", "marlstep.simulator"]
    completed = subprocess.run(command, input="", capture_output=True, text=True, check=False)
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "", "")


def test_an_exception_in_a_controller_is_reported_for_that_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = SimulatedServers()
    servers.process_batch(1, [(1, CREATE), (2, CREATE | {"serverId": 4})])

    def raise_index_error(now: int, events: object) -> list[Any]:
        raise IndexError("out of range")

    monkeypatch.setattr(servers.instances[3], "decide", raise_index_error)
    replies = [
        json.loads(line)
        for line in servers.process_batch(
            2, [(1, request_message("a")), (2, request_message("b", serverId=4))]
        )
    ]
    assert replies[0] == {"m": "die", "serverId": 3, "msg": "IndexError: out of range"}
    assert names_and_ids(replies[1:]) == [("process", "b")]
