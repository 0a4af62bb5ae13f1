"""The run log: which commands may change a task's runs, and what a snapshot contains."""

from __future__ import annotations

import orjson

from marlstep.scheduled_tasks.commands import BeginRun, EndRun
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import RunLog, TaskRun
from tests.scheduled_tasks.support import Group


def test_the_token_is_checked_before_the_rest_of_a_command_is_parsed() -> None:
    group = Group()
    token = group.grant("a/1")
    stored = {"m": "tasks", "do": "other", "task": "t", "token": token + 1}
    assert group.run_log.apply(stored) == {"refused": "not the token of the lease"}
    assert group.run_log.runs == {}


def test_a_run_is_begun_again_only_if_it_never_ran_or_as_a_repeat() -> None:
    group = Group()
    token = group.grant("a/1")
    begin = BeginRun("t", token, 4, is_repeat=False).to_json()
    assert group.run_log.apply(begin) == {"begun": 4}
    group.run_log.apply(EndRun("t", token, 4, Outcome.NOT_RUN).to_json())
    assert group.run_log.apply(begin) == {"begun": 4}
    group.run_log.apply(EndRun("t", token, 4, Outcome.FAILED).to_json())
    assert group.run_log.apply(begin)["refused"] == "that run was begun"
    assert group.run_log.apply(BeginRun("t", token, 4, is_repeat=True).to_json()) == {"begun": 4}
    assert group.run_log.runs["t"].attempts == 3


def test_a_snapshot_as_json_keeps_all_runs() -> None:
    group = Group()
    group.run_log.runs = {"t": TaskRun(4, 7, Outcome.OPEN, 2, True, False), "untouched": TaskRun()}
    restored = RunLog(group.table)
    restored.restore(orjson.loads(orjson.dumps(group.run_log.snapshot())))
    assert restored.runs == group.run_log.runs
