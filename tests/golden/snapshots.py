"""The state of each machine on the log as a snapshot holds it, in a voter's store and on its way to other nodes."""

from __future__ import annotations

import json
from collections.abc import Mapping

from marlstep.cluster.node import tasks_machine
from marlstep.consensus.log import Configuration
from marlstep.consensus.state_machine import StateMachine, StateMachines
from marlstep.leases.table import Lease, LeaseTable
from marlstep.membership.quotas import Part, Shares
from marlstep.membership.roster import Agreed, Belongs
from marlstep.replicated_config.documents import Kind, Version
from marlstep.replicated_config.store import Book, Document, Pending, Stage
from marlstep.scheduled_tasks.run_log import Outcome, Record, Run
from tests.golden.conversation import DATA

PATH = DATA / "snapshots.json"
GROUP = Configuration(voters=("n1#a", "n2#b"), learners=("n3#c",))


def new_machines() -> Mapping[str, StateMachine]:
    """All machines of a fleet, by their names in a snapshot, still empty."""
    table = LeaseTable()
    return {"leases": table, **tasks_machine(table)}


def _fill_leases(table: LeaseTable) -> None:
    table.restore({"token": 24, "leases": []})
    table.leases = {
        "task/a": Lease(holder="n1/b1", token=23, previous_node="n2", grant_count=4),
        "rules/n1/b1": Lease(holder="n1/b1", token=24, previous_node="", grant_count=1),
        "task/free": Lease(holder="", token=12, previous_node="n3", grant_count=2),
    }


def _fill_members(agreed: Agreed) -> None:
    agreed.nodes = {
        "n1": Belongs(there=True),
        "n2": Belongs(there=False, taken_out=2, why="heard as failed", held_off=True),
    }
    agreed.believed = ["n7", "n8"]


def _version(number: int) -> Version:
    return Version(version=number, content='{"tenants":{}}', author="ops", note="ä note", at="2026-01-02")


def _fill_rules(book: Book) -> None:
    stage = Stage(nodes=["n1"], for_ms=60_000, worse=0.05, least=100, begun=True)
    pending = Pending(
        version=_version(3), hold_out=True, stage=stage, acked=["n1/b1"], refused={"n2/b2": "too large"}
    )
    staged = Document(
        kind=Kind.TENANTS,
        strict=True,
        versions=[_version(1), _version(2)],
        count=3,
        pending=pending,
        held_out={"n4/b4": "why"},
        turned_down=[{"version": 9, "author": "ops", "why": "withdrawn"}],
    )
    unstaged = Document(
        kind=Kind.SERVERS, strict=False, count=1, pending=Pending(version=_version(1), hold_out=False)
    )
    book.documents = {
        "tenants": staged,
        "servers": unstaged,
        "settings": Document(kind=Kind.SETTINGS, strict=False),
    }
    book._uploads["upload-1"] = "half of a docu"


def _fill_shares(shares: Shares) -> None:
    shares.tenants = {"acme": {"n1/b1": Part(now=500_000, asked=250_000)}, "öst": {}}


def _fill_tasks(record: Record) -> None:
    record.runs = {
        f"task-{outcome.name.lower()}": Run(
            run=number, token=20 + number, outcome=outcome, tries=2, doubt=True, before=number % 2 == 0
        )
        for number, outcome in enumerate(Outcome)
    }
    record.runs["untouched"] = Run()


def filled_machines() -> Mapping[str, StateMachine]:
    """All machines, each with every field of its state set."""
    machines = new_machines()
    for machine in machines.values():
        match machine:
            case LeaseTable():
                _fill_leases(machine)
            case Agreed():
                _fill_members(machine)
            case Book():
                _fill_rules(machine)
            case Shares():
                _fill_shares(machine)
            case Record():
                _fill_tasks(machine)
            case _:
                raise AssertionError(f"no golden state for {type(machine).__name__}")
    return machines


def written() -> dict[str, str]:
    """A whole snapshot, and the group beside it, as the store and the wire have them."""
    machines = StateMachines(filled_machines())
    machines._cache_result("n2/b2", 5, {"granted": "n2/b2", "token": 24})
    return {"snapshot": machines.snapshot(), "group": GROUP.encode()}


def load() -> dict[str, str]:
    stored: dict[str, str] = json.loads(PATH.read_text())
    return stored
