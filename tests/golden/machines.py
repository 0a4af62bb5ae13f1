"""All state machines of a voter, and commands for them by the thousand."""

from __future__ import annotations

import hashlib

import orjson

from marlstep.cluster.replica_driver import state_machines
from marlstep.consensus.state_machine import StateMachines
from marlstep.leases.table import LeaseTable


def machines() -> StateMachines:
    """As a voter without a past has them."""
    table = LeaseTable()
    return StateMachines({"leases": table, **state_machines(table)})


def apply_command(log: StateMachines, body: str) -> str:
    """The result of one command, as JSON."""
    return orjson.dumps(log.apply(body)[1]).decode()


def run_limit(before: tuple[str, ...], pattern: str, count: int) -> tuple[str, str]:
    """The result of the last command, and the digest of the snapshot after it."""
    log, last_result = machines(), ""
    for body in before:
        log.apply(body)
    for number in range(1, count + 1):
        for body in pattern.replace("@", str(number)).split("\n"):
            last_result = apply_command(log, body)
    return last_result, hashlib.blake2b(log.snapshot().encode(), digest_size=16).hexdigest()
