"""Orders through an address that two processes of a node share in an upgrade, and connections that are lost."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from marlstep.cli import exit_codes
from marlstep.cli.main import call
from marlstep.cluster.order_tracker import UNKNOWN_REASON, OrderState

OWN = 5 << 20 | 1  # the order number
CONTENT = {"a": 1}
DONE = {"state": "done", "result": {"removed": "n7"}}
PENDING: dict[str, Any] = {"state": "pending"}
UNKNOWN = {"state": OrderState.UNKNOWN.value, "why": UNKNOWN_REASON}
Answer = tuple[int, Any] | Exception


class ScriptedConnection:
    """Replaces `http.client.HTTPConnection`; `answer` responds to the method and path of a request."""

    answer: Callable[[str, str], Answer]

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self.status, self._body = 500, b""

    def request(self, method: str, path: str, body: str | None, headers: dict[str, str]) -> None:
        answer = type(self).answer(method, path)
        if isinstance(answer, Exception):
            raise answer
        self.status, self._body = answer[0], json.dumps(answer[1]).encode()

    def getresponse(self) -> ScriptedConnection:
        return self

    def read(self) -> bytes:
        return self._body


def run_command(folder: Path, words: list[str], answer: Callable[[str, str], Answer]) -> int:
    token = folder / "token"
    token.write_text("t" * 16)
    ScriptedConnection.answer = staticmethod(answer)
    options = ["--admin", "127.0.0.1:1", "--token-file", str(token)]
    patches = patch("http.client.HTTPConnection", ScriptedConnection), patch("time.sleep")
    with patches[0], patches[1]:
        return call([*words, *options])


REMOVE = ["fleet", "remove", "n7"]


@pytest.mark.parametrize(
    "lookups",
    [
        [DONE],
        [PENDING, UNKNOWN, UNKNOWN, PENDING, UNKNOWN, DONE],  # the other process answers in between
        [None, None, DONE],  # a process of an older version answers in between, and has no such path
    ],
)
def test_the_result_of_an_order_comes_from_the_process_that_took_it(
    lookups: list[Any], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    rest = iter(lookups)

    def answer(method: str, path: str) -> Answer:
        if method == "POST":
            return 202, {"asked": OWN, "process": "n1/0b1"}
        assert path == f"/v1/fleet/asked/n1/0b1/{OWN}"
        lookup = next(rest)
        return (404, {"error": "no such thing"}) if lookup is None else (200, lookup)

    assert run_command(tmp_path, REMOVE, answer) == exit_codes.DONE
    assert json.loads(capsys.readouterr().out) == {"removed": "n7"}


def test_a_result_of_another_order_with_a_small_number_is_not_taken_for_that_of_an_older_process(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # The predecessor, of an older version, took the order as its number 1; its successor answers first.
    results = iter([{str(OWN): {"removed": "n3"}}, {"1": {"removed": "n7"}}])

    def answer(method: str, path: str) -> Answer:
        return (202, {"asked": 1}) if method == "POST" else (200, next(results))

    assert run_command(tmp_path, REMOVE, answer) == exit_codes.DONE
    assert json.loads(capsys.readouterr().out) == {"removed": "n7"}


@pytest.mark.parametrize("lost", [ConnectionResetError(), TimeoutError(), http.client.RemoteDisconnected("")])
def test_an_order_whose_answer_is_lost_is_unknown(lost: Exception, tmp_path: Path) -> None:
    assert run_command(tmp_path, REMOVE, lambda *_: lost) == exit_codes.OUTCOME_UNKNOWN


def test_an_order_that_could_not_be_sent_is_not_done(tmp_path: Path) -> None:
    assert run_command(tmp_path, REMOVE, lambda *_: ConnectionRefusedError()) == exit_codes.UNUSABLE


def test_an_order_whose_process_has_ended_is_unknown_and_says_that_it_may_have_had_an_effect(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def answer(method: str, path: str) -> Answer:
        return (202, {"asked": OWN, "process": "n1/0b1"}) if method == "POST" else (200, UNKNOWN)

    assert run_command(tmp_path, REMOVE, answer) == exit_codes.OUTCOME_UNKNOWN
    assert "may have had an effect" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("versions", "code"),
    [
        ([(4, CONTENT)], exit_codes.DONE),
        ([(4, CONTENT), (5, {"a": 2})], exit_codes.DONE),
        ([(4, {"a": 2})], exit_codes.UNUSABLE),
        ([(3, CONTENT)], exit_codes.OUTCOME_UNKNOWN),
    ],
)
def test_a_put_without_a_result_is_judged_by_what_came_into_force(
    versions: list[tuple[int, Any]], code: int, tmp_path: Path
) -> None:
    (tmp_path / "new.json").write_text(json.dumps(CONTENT))
    rows = [{"version": number, "content": json.dumps(content)} for number, content in versions]

    def answer(method: str, path: str) -> Answer:
        if path == "/v1/fleet/rules/part":
            return 202, {"asked": OWN, "process": "n1/0b1"}
        if path == "/v1/fleet/rules/put":
            return ConnectionResetError()
        if path == "/v1/fleet/rules/tenants":
            return 200, {"name": "tenants", "versions": rows}
        return 200, {"state": "done", "result": {"taken": 7}}

    words = ["rules", "put", "tenants", str(tmp_path / "new.json"), "--expect", "3"]
    assert run_command(tmp_path, words, answer) == code
