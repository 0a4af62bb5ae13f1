"""The replicated state machine: two-phase activation, compare-and-set, limits and snapshots."""

from __future__ import annotations

import json
from typing import Any

import pytest

from marlstep.replicated_config.comparison import find_unsafe_shrinkage
from marlstep.replicated_config.documents import (
    MAX_VERSIONS_KEPT,
    content_digest,
)
from marlstep.replicated_config.store import ConfigStore
from tests.replicated_config.support import ConfigLog


def test_a_version_waits_for_all_live_processes_and_for_one_that_starts_meanwhile() -> None:
    log = ConfigLog("a/1", "b/1")
    assert log.put("[1]", 0)["waits_for"] == ["a/1", "b/1"]
    assert log.acknowledge("a/1") == {"acked": "a/1"} and not log.commit()
    log.grant_lease("c/1")
    log.acknowledge("b/1")
    assert log.store.apply({"do": "commit", "doc": "d", "version": 1}) == {"waits_for": ["c/1"]}
    log.expire_lease("c/1")  # without a lease, it uses no version
    assert log.commit() == [{"in_force": 1}] and log.active_version == 1


def test_an_acknowledgement_of_an_earlier_process_or_of_another_content_does_not_count() -> None:
    log = ConfigLog("a/1")
    log.put("[1]", 0)
    log.acknowledge("a/1")
    log.expire_lease("a/1")
    log.grant_lease("a/2")
    assert not log.commit()
    acknowledgement = {
        "do": "ack",
        "doc": "d",
        "holder": "a/2",
        "version": 1,
        "digest": content_digest("[2]"),
    }
    assert "another" in log.store.apply(acknowledgement)["refused"]
    assert (
        "no lease"
        in log.store.apply({**acknowledgement, "holder": "a/1", "digest": content_digest("[1]")})["refused"]
    )


def test_the_second_of_two_concurrent_changes_is_rejected_with_the_active_version() -> None:
    log = ConfigLog("a/1")
    log.put("[1]", 0)
    assert "on its way" in log.put("[2]", 0)["refused"]
    log.acknowledge("a/1")
    log.commit()
    assert log.put("[2]", 0)["version"] == 1
    assert log.put("[2]", 1)["prepares"] == 2
    assert "withdrawn" in log.store.apply({"do": "withdraw", "doc": "d", "version": 2, "why": "x"})
    assert log.put("[3]", 1)["prepares"] == 3  # version numbers are never reused
    assert log.store.documents["d"].rejected_versions[0]["version"] == 2


def test_a_rejection_withdraws_the_version_or_excludes_the_process() -> None:
    log = ConfigLog("a/1", "b/1")
    log.put("[1]", 0)
    log.acknowledge("a/1")
    log.acknowledge("b/1", rejection="too little memory")
    assert log.store.documents["d"].prepared is None and not log.active_version
    assert "too little memory" in log.store.documents["d"].rejected_versions[0]["why"]
    log.put("[1]", 0, hold_out=True)
    log.acknowledge("a/1")
    log.acknowledge("b/1", rejection="too little memory")
    assert log.commit() == [{"in_force": 2}] and log.store.documents["d"].excluded == {
        "b/1": "too little memory"
    }


def test_an_incomplete_upload_is_rejected() -> None:
    log = ConfigLog()
    log.store.apply({"do": "part", "upload": "u", "offset": 0, "data": '{"p":'})
    put = {"do": "put", "doc": "d", "kind": "settings", "strict": False, "upload": "u", "expect": 0}
    put |= {"digest": content_digest('{"p":["a"]}'), "author": "", "note": "", "at": ""}
    assert "did not come whole" in log.store.apply(put)["refused"]  # its second chunk was overtaken
    log.store.apply({"do": "part", "upload": "u", "offset": 5, "data": '["a"]}'})
    assert "prepares" in log.store.apply(put)


def test_a_server_list_that_empties_a_pool_or_removes_over_half_of_it_needs_force() -> None:
    log = ConfigLog()
    log.put('{"p":["a","b","c"]}', 0, "servers")
    log.commit()
    assert "would be empty" in log.put('{"p":[]}', 1, "servers")["refused"]
    assert "would lose 2 of 3" in log.put('{"p":["a"]}', 1, "servers")["refused"]
    assert "prepares" in log.put('{"p":["a","b"]}', 1, "servers")
    assert find_unsafe_shrinkage('{"p":["a"]}', '{"p":["a"],"q":["b"]}') is None
    other = ConfigLog()
    other.put('{"p":["a","b","c"]}', 0, "servers")
    other.commit()
    assert "prepares" in other.put('{"p":["x"]}', 1, "servers", force=True)


def test_kept_versions_are_bounded_and_restored_from_a_snapshot() -> None:
    log = ConfigLog()
    for number in range(10_000):
        log.put(f"[{number}]", number)
        log.commit()
    assert log.active_version == 10_000 and len(log.store.documents["d"].versions) == MAX_VERSIONS_KEPT
    big = json.dumps("x" * 1_000_000)
    for number in range(10_000, 10_010):
        chunk = {"do": "part", "upload": "big", "offset": 0, "data": big}
        assert log.store.apply(chunk) == {"taken": len(big)}
        put = {
            "do": "put",
            "doc": "d",
            "kind": "settings",
            "strict": False,
            "upload": "big",
            "expect": number,
        }
        log.store.apply({**put, "digest": content_digest(big), "author": "", "note": "", "at": ""})
        log.commit()
    versions = log.store.documents["d"].versions
    assert len(versions) <= 6 and versions[-1].number == 10_010
    too_large = {"do": "part", "upload": "u", "offset": 0, "data": "x" * ((1 << 20) + 1)}
    assert "at the most" in log.store.apply(too_large)["refused"]
    restored = ConfigStore(log.table)
    restored.restore(json.loads(json.dumps(log.store.snapshot())))
    assert restored.snapshot() == log.store.snapshot()


def test_a_rollout_is_planned_started_promoted_and_restored_from_a_snapshot() -> None:
    log = ConfigLog("a/1", "b/1", "c/1", "d/1")
    criteria: dict[str, Any] = {"for_ms": 1000, "worse": 0.02, "least": 10}
    assert "first version" in log.put("[1]", 0, stage={**criteria, "nodes": ["a"]})["refused"]
    log.put("[1]", 0)
    log.acknowledge_by_all()
    log.commit()
    assert (
        "never stand side by side"
        in log.put("[2]", 1, strict=True, stage={**criteria, "nodes": ["a"]})["refused"]
    )
    assert "x does not act" in log.put("[2]", 1, stage={**criteria, "nodes": ["a", "x"]})["refused"]
    assert "on all nodes" in log.put("[2]", 1, stage={**criteria, "nodes": list("abcd")})["refused"]
    assert len(log.put("[2]", 1, stage={**criteria, "share": 0.5})["first_on"]) == 2
    assert log.store.documents["d"].prepared is not None
    log.store.apply({"do": "withdraw", "doc": "d", "version": 2, "why": "x"})
    assert log.put("[3]", 1, stage={**criteria, "nodes": ["b"]})["first_on"] == ["b"]
    assert not log.store.statuses()[0].rollout_nodes  # not before all processes have acknowledged
    log.acknowledge_by_all()
    assert log.commit() == [{"staged": 3, "first_on": ["b"]}] and not log.commit()
    assert log.store.statuses()[0].rollout_nodes == ("b",) and log.active_version == 1
    restored = ConfigStore(log.table)
    restored.restore(json.loads(json.dumps(log.store.snapshot())))
    assert restored.snapshot() == log.store.snapshot() and restored.statuses() == log.store.statuses()
    commit = {"do": "commit", "doc": "d", "version": 3}
    assert "staged" in log.store.apply(commit)["refused"]
    log.grant_lease("e/1")  # a process that starts during the rollout has to acknowledge as well
    assert log.store.apply({**commit, "whole": True}) == {"waits_for": ["e/1"]}
    log.acknowledge("e/1")
    assert (
        log.store.apply({**commit, "whole": True}) == {"in_force": 3}
        and not log.store.statuses()[0].rollout_nodes
    )
    assert log.store.apply({"do": "get", "doc": "d"})["version"] == 3


@pytest.mark.parametrize("do", ["get", "ack", "commit", "withdraw", "none"])
def test_a_command_about_an_unknown_document_is_rejected_before_the_rest_is_parsed(do: str) -> None:
    assert ConfigLog().store.apply({"do": do, "doc": "d"}) == {"refused": "no such document"}


@pytest.mark.parametrize(
    ("content", "allowances"),
    [
        ('{"tenants":{"riad":{"allowance_per_s":2.5},"dar":{}}}', {"riad": 2.5}),
        ("[1]", {}),
        ('{"tenants":[1]}', {}),
        ('{"tenants":{"riad":[]}}', {}),
        ('{"tenants":{"riad":{"allowance_per_s":"much"}}}', {}),
    ],
)
def test_a_document_of_tenants_of_another_form_has_no_allowances(
    content: str, allowances: dict[str, float]
) -> None:
    # Guards against a leader that fails over a committed document whose content is a list.
    log = ConfigLog("a/1")
    log.put(content, 0, kind="tenants")
    log.acknowledge("a/1")
    assert log.commit() == [{"in_force": 1}]
    assert log.store.allowances() == allowances
