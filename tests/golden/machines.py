"""All state machines of a voter, and runs of commands against their limits."""

from __future__ import annotations

import hashlib

import orjson

from marlstep.cluster.state_machines import state_machines
from marlstep.consensus.state_machine import StateMachines
from marlstep.leases.table import LeaseTable


def machines() -> StateMachines:
    """Return the state machines of a voter with an empty log."""
    table = LeaseTable()
    return StateMachines({"leases": table, **state_machines(table)})


def apply_command(log: StateMachines, body: str) -> str:
    """Apply one command and return its result as JSON."""
    return orjson.dumps(log.apply(body)[1]).decode()


def run_limit(before: tuple[str, ...], pattern: str, count: int) -> tuple[str, str]:
    """Apply the commands of one entry of `LIMITS`; return the last result and the digest of the snapshot after it."""
    log, last_result = machines(), ""
    for body in before:
        log.apply(body)
    for number in range(1, count + 1):
        for body in pattern.replace("@", str(number)).split("\n"):
            last_result = apply_command(log, body)
    return last_result, hashlib.blake2b(log.snapshot().encode(), digest_size=16).hexdigest()
