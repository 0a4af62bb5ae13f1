"""Commands on the store of a stopped replica: create a group, and recover one that has lost its majority."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from marlstep.cluster.store import ReplicaStore
from marlstep.cluster.store_errors import StoreRefusedError
from marlstep.consensus.log import Configuration, EntryType, PersistentState, Snapshot
from marlstep.consensus.raft import Ready
from marlstep.consensus.state_machine import StateMachines
from marlstep.leases.table import LeaseTable
from marlstep.scheduled_tasks.run_log import RunLog

TOKEN_GAP = 1_000_000  # fencing tokens that lost entries may have given out; they are never given out again


@dataclass(slots=True, frozen=True)
class RecoveredGroup:
    """What a recovered group goes on from."""

    identity: str  # of its only voter
    group: str  # its new name
    last_index: int
    last_token: int  # the next lease gets a greater one

    def to_json(self) -> dict[str, object]:
        """The command's output."""
        return {
            "identity": self.identity,
            "group": self.group,
            "entries": self.last_index,
            "token": self.last_token,
        }


def create_group(folder: Path, node: str, identity: str, group: str) -> None:
    """Create a group whose only voter is the replica in `folder`; it admits the others once it runs.

    Raises StoreError, and StoreRefusedError where there is a store already.
    """
    store = ReplicaStore(folder)
    if store.path.exists():
        raise StoreRefusedError(store.path, "is there already: this voter is of a group, or waits for one")
    store.open(node, identity)
    try:
        store.set_group(group)
        first_snapshot = Snapshot(0, 0, Configuration((identity,)), "")
        store.save(Ready(number=1, term=0, voted_for="", snapshot=first_snapshot))
    finally:
        store.close()


def recover_group(folder: Path, node: str, group: str) -> RecoveredGroup:
    """Make a group of this replica alone, named `group`, from all that its store has.

    The other replicas' stores stay those of the group before. Fencing tokens go on far above those that are known:
    entries that only the others had may have given some out. Raises StoreError, and StoreRefusedError where there is
    nothing to recover from.
    """
    store = ReplicaStore(folder)
    if not store.path.exists():
        raise StoreRefusedError(store.path, "is not there: there is nothing to go on from")
    opened = store.open(node, "")
    try:
        if opened.fresh:
            raise StoreRefusedError(store.path, "had no state of this replica")
        snapshot, last_token = _merged_snapshot(opened.identity, opened.state)
        store.set_group(group)
        store.save(
            Ready(
                number=1,
                term=snapshot.term,
                voted_for="",
                snapshot=snapshot,
                replaces_log=True,
                keep_after_index=snapshot.index,
            )
        )
        return RecoveredGroup(opened.identity, group, snapshot.index, last_token)
    finally:
        store.close()


def _merged_snapshot(identity: str, state: PersistentState) -> tuple[Snapshot, int]:
    """A snapshot that covers the whole log, committed or not, and the last fencing token in it."""
    leases = LeaseTable()
    machines = StateMachines({"leases": leases, "tasks": RunLog(leases)})
    if state.snapshot.data:
        machines.restore(state.snapshot.data)
    for entry in state.entries:
        if entry.entry_type is EntryType.COMMAND:
            machines.apply(entry.body)
    leases.last_token += TOKEN_GAP
    last_index = state.entries[-1].index if state.entries else state.snapshot.index
    snapshot = Snapshot(last_index, state.term + 1, Configuration((identity,)), machines.snapshot())
    return snapshot, leases.last_token
