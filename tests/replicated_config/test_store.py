"""The replicated state machine: two-phase activation, compare-and-set, limits and snapshots."""

from __future__ import annotations

import json
from typing import Any

from marlstep.replicated_config.comparison import find_unsafe_shrinkage
from marlstep.replicated_config.documents import (
    MAX_VERSIONS_KEPT,
    content_digest,
)
from marlstep.replicated_config.store import ConfigStore
from tests.replicated_config.support import Log


def test_a_change_waits_for_everyone_who_acts_and_for_who_comes_meanwhile() -> None:
    log = Log("a/1", "b/1")
    assert log.put("[1]", 0)["waits_for"] == ["a/1", "b/1"]
    assert log.ack("a/1") == {"acked": "a/1"} and not log.commit()
    log.join("c/1")
    log.ack("b/1")
    assert log.book.apply({"do": "commit", "doc": "d", "version": 1}) == {"waits_for": ["c/1"]}
    log.gone("c/1")  # its lease has run out: it acts on nothing
    assert log.commit() == [{"in_force": 1}] and log.in_force == 1


def test_the_word_of_an_earlier_life_or_of_another_content_counts_for_nothing() -> None:
    log = Log("a/1")
    log.put("[1]", 0)
    log.ack("a/1")
    log.gone("a/1")
    log.join("a/2")
    assert not log.commit()
    told = {"do": "ack", "doc": "d", "holder": "a/2", "version": 1, "digest": content_digest("[2]")}
    assert "another" in log.book.apply(told)["refused"]
    assert "no lease" in log.book.apply({**told, "holder": "a/1", "digest": content_digest("[1]")})["refused"]


def test_two_who_change_at_once_one_is_told_what_is_in_force() -> None:
    log = Log("a/1")
    log.put("[1]", 0)
    assert "on its way" in log.put("[2]", 0)["refused"]
    log.ack("a/1")
    log.commit()
    assert log.put("[2]", 0)["version"] == 1
    assert log.put("[2]", 1)["prepares"] == 2
    assert "withdrawn" in log.book.apply({"do": "withdraw", "doc": "d", "version": 2, "why": "x"})
    assert log.put("[3]", 1)["prepares"] == 3  # a number is never given again
    assert log.book.documents["d"].rejected_versions[0]["version"] == 2


def test_one_that_cant_take_it_turns_it_down_or_is_held_out() -> None:
    log = Log("a/1", "b/1")
    log.put("[1]", 0)
    log.ack("a/1")
    log.ack("b/1", why="too little memory")
    assert log.book.documents["d"].prepared is None and not log.in_force
    assert "too little memory" in log.book.documents["d"].rejected_versions[0]["why"]
    log.put("[1]", 0, hold_out=True)
    log.ack("a/1")
    log.ack("b/1", why="too little memory")
    assert log.commit() == [{"in_force": 2}] and log.book.documents["d"].excluded == {
        "b/1": "too little memory"
    }


def test_a_content_that_came_in_part_only_is_no_version() -> None:
    log = Log()
    log.book.apply({"do": "part", "upload": "u", "offset": 0, "data": '{"p":'})
    put = {"do": "put", "doc": "d", "kind": "settings", "strict": False, "upload": "u", "expect": 0}
    put |= {"digest": content_digest('{"p":["a"]}'), "author": "", "note": "", "at": ""}
    assert "did not come whole" in log.book.apply(put)["refused"]  # its second piece was overtaken
    log.book.apply({"do": "part", "upload": "u", "offset": 5, "data": '["a"]}'})
    assert "prepares" in log.book.apply(put)


def test_a_list_that_empties_or_loses_over_half_needs_force() -> None:
    log = Log()
    log.put('{"p":["a","b","c"]}', 0, "servers")
    log.commit()
    assert "would be empty" in log.put('{"p":[]}', 1, "servers")["refused"]
    assert "would lose 2 of 3" in log.put('{"p":["a"]}', 1, "servers")["refused"]
    assert "prepares" in log.put('{"p":["a","b"]}', 1, "servers")
    assert find_unsafe_shrinkage('{"p":["a"]}', '{"p":["a"],"q":["b"]}') is None
    other = Log()
    other.put('{"p":["a","b","c"]}', 0, "servers")
    other.commit()
    assert "prepares" in other.put('{"p":["x"]}', 1, "servers", force=True)


def test_thousands_of_versions_and_a_megabyte_stay_bounded_and_survive_a_snapshot() -> None:
    log = Log()
    for number in range(10_000):
        log.put(f"[{number}]", number)
        log.commit()
    assert log.in_force == 10_000 and len(log.book.documents["d"].versions) == MAX_VERSIONS_KEPT
    big = json.dumps("x" * 1_000_000)
    for number in range(10_000, 10_010):
        self_upload = {"do": "part", "upload": "big", "offset": 0, "data": big}
        assert log.book.apply(self_upload) == {"taken": len(big)}
        put = {
            "do": "put",
            "doc": "d",
            "kind": "settings",
            "strict": False,
            "upload": "big",
            "expect": number,
        }
        log.book.apply({**put, "digest": content_digest(big), "author": "", "note": "", "at": ""})
        log.commit()
    kept = log.book.documents["d"].versions
    assert len(kept) <= 6 and kept[-1].number == 10_010
    over = {"do": "part", "upload": "u", "offset": 0, "data": "x" * ((1 << 20) + 1)}
    assert "at the most" in log.book.apply(over)["refused"]
    again = ConfigStore(log.table)
    again.restore(json.loads(json.dumps(log.book.snapshot())))
    assert again.snapshot() == log.book.snapshot()


def test_a_stage_is_begun_goes_on_or_back_and_survives_a_snapshot() -> None:
    log = Log("a/1", "b/1", "c/1", "d/1")
    how: dict[str, Any] = {"for_ms": 1000, "worse": 0.02, "least": 10}
    assert "first version" in log.put("[1]", 0, stage={**how, "nodes": ["a"]})["refused"]
    log.put("[1]", 0)
    for one in log.book.live_processes():
        log.ack(one)
    log.commit()
    assert (
        "never stand side by side" in log.put("[2]", 1, strict=True, stage={**how, "nodes": ["a"]})["refused"]
    )
    assert "x does not act" in log.put("[2]", 1, stage={**how, "nodes": ["a", "x"]})["refused"]
    assert "on all nodes" in log.put("[2]", 1, stage={**how, "nodes": list("abcd")})["refused"]
    assert len(log.put("[2]", 1, stage={**how, "share": 0.5})["first_on"]) == 2
    assert log.book.documents["d"].prepared is not None
    log.book.apply({"do": "withdraw", "doc": "d", "version": 2, "why": "x"})
    assert log.put("[3]", 1, stage={**how, "nodes": ["b"]})["first_on"] == ["b"]
    assert not log.book.statuses()[0].rollout_nodes  # not before all have said that they can take it
    for one in log.book.live_processes():
        log.ack(one)
    assert log.commit() == [{"staged": 3, "first_on": ["b"]}] and not log.commit()
    assert log.book.statuses()[0].rollout_nodes == ("b",) and log.in_force == 1
    again = ConfigStore(log.table)
    again.restore(json.loads(json.dumps(log.book.snapshot())))
    assert again.snapshot() == log.book.snapshot() and again.statuses() == log.book.statuses()
    whole = {"do": "commit", "doc": "d", "version": 3}
    assert "staged" in log.book.apply(whole)["refused"]
    log.join("e/1")  # one that comes meanwhile has to say so as well
    assert log.book.apply({**whole, "whole": True}) == {"waits_for": ["e/1"]}
    log.ack("e/1")
    assert (
        log.book.apply({**whole, "whole": True}) == {"in_force": 3}
        and not log.book.statuses()[0].rollout_nodes
    )
    assert log.book.apply({"do": "get", "doc": "d"})["version"] == 3
