"""The state of each replicated state machine in a snapshot, as voters store it and send it to each other."""

from __future__ import annotations

import json
from collections.abc import Mapping

from marlstep.cluster.state_machines import state_machines
from marlstep.consensus.log import Configuration
from marlstep.consensus.state_machine import StateMachine, StateMachines
from marlstep.leases.table import Lease, LeaseTable
from marlstep.membership.quota_table import QuotaShare, QuotaTable
from marlstep.membership.roster import Roster, RosterEntry
from marlstep.replicated_config.documents import Document, DocumentVersion, Kind, PreparedVersion, Rollout
from marlstep.replicated_config.store import ConfigStore
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import RunLog, TaskRun
from tests.golden.conversation import DATA

PATH = DATA / "snapshots.json"
GROUP = Configuration(voters=("n1#a", "n2#b"), learners=("n3#c",))


def new_machines() -> Mapping[str, StateMachine]:
    """Return all state machines of a fleet in their initial state, by their names in a snapshot."""
    table = LeaseTable()
    return {"leases": table, **state_machines(table)}


def _fill_leases(table: LeaseTable) -> None:
    table.restore({"token": 24, "leases": []})
    table.leases = {
        "task/a": Lease(holder="n1/b1", token=23, previous_node="n2", grant_count=4),
        "rules/n1/b1": Lease(holder="n1/b1", token=24, previous_node="", grant_count=1),
        "task/free": Lease(holder="", token=12, previous_node="n3", grant_count=2),
    }


def _fill_members(agreed: Roster) -> None:
    agreed.nodes = {
        "n1": RosterEntry(is_member=True),
        "n2": RosterEntry(
            is_member=False, removal_count=2, reason="heard as failed", blocked_by_operator=True
        ),
    }
    agreed.confirmed_failures = ["n7", "n8"]


def _version(number: int) -> DocumentVersion:
    return DocumentVersion(
        number=number, content='{"tenants":{}}', author="ops", note="ä note", at="2026-01-02"
    )


def _fill_rules(book: ConfigStore) -> None:
    stage = Rollout(nodes=["n1"], duration_ms=60_000, max_degradation=0.05, min_requests=100, started=True)
    pending = PreparedVersion(
        version=_version(3),
        may_exclude=True,
        rollout=stage,
        acknowledgements=["n1/b1"],
        rejections={"n2/b2": "too large"},
    )
    staged = Document(
        kind=Kind.TENANTS,
        strict=True,
        versions=[_version(1), _version(2)],
        version_count=3,
        prepared=pending,
        excluded={"n4/b4": "why"},
        rejected_versions=[{"version": 9, "author": "ops", "why": "withdrawn"}],
    )
    unstaged = Document(
        kind=Kind.SERVERS,
        strict=False,
        version_count=1,
        prepared=PreparedVersion(version=_version(1), may_exclude=False),
    )
    book.documents = {
        "tenants": staged,
        "servers": unstaged,
        "settings": Document(kind=Kind.SETTINGS, strict=False),
    }
    book._uploads["upload-1"] = "half of a docu"


def _fill_shares(shares: QuotaTable) -> None:
    shares.tenants = {"acme": {"n1/b1": QuotaShare(granted=500_000, target=250_000)}, "öst": {}}


TASK_NAMES = {
    Outcome.OPEN: "open",
    Outcome.DONE: "done",
    Outcome.FAILED: "failed",
    Outcome.UNKNOWN: "maybe",
    Outcome.NOT_RUN: "never",
    Outcome.FENCED_OFF: "late",
}


def _fill_tasks(record: RunLog) -> None:
    record.runs = {
        f"task-{TASK_NAMES[outcome]}": TaskRun(
            number=number,
            token=20 + number,
            outcome=outcome,
            attempts=2,
            may_be_in_flight=True,
            was_in_flight=number % 2 == 0,
        )
        for number, outcome in enumerate(Outcome)
    }
    record.runs["untouched"] = TaskRun()


def filled_machines() -> Mapping[str, StateMachine]:
    """Return all state machines with every field of their state set."""
    machines = new_machines()
    for machine in machines.values():
        match machine:
            case LeaseTable():
                _fill_leases(machine)
            case Roster():
                _fill_members(machine)
            case ConfigStore():
                _fill_rules(machine)
            case QuotaTable():
                _fill_shares(machine)
            case RunLog():
                _fill_tasks(machine)
            case _:
                raise AssertionError(f"no golden state for {type(machine).__name__}")
    return machines


def written() -> dict[str, str]:
    """Return a snapshot of all machines and the voter configuration, as they are stored and sent."""
    machines = StateMachines(filled_machines())
    machines._cache_result("n2/b2", 5, {"granted": "n2/b2", "token": 24})
    return {"snapshot": machines.snapshot(), "group": GROUP.encode()}


def load() -> dict[str, str]:
    stored: dict[str, str] = json.loads(PATH.read_text("utf-8"))
    return stored
