"""Operations on the store of a stopped replica: create a group, and recover one that has lost its majority."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from marlstep.cluster.state_machines import state_machines
from marlstep.cluster.store import ReplicaStore
from marlstep.cluster.store_errors import StoreRefusedError
from marlstep.consensus.log import Configuration, EntryType, PersistentState, Snapshot
from marlstep.consensus.raft import Ready
from marlstep.consensus.state_machine import StateMachines
from marlstep.leases.table import LeaseTable
from marlstep.replicated_config.store import ConfigStore

TOKEN_GAP = 1_000_000  # skipped fencing tokens, because lost log entries may have issued them
VERSION_GAP = 1_000  # skipped version numbers of each document, for the same reason


@dataclass(slots=True, frozen=True)
class RecoveredGroup:
    """The state from which a recovered group continues."""

    identity: str  # of its only voter
    group: str  # the new name of the group
    last_index: int
    last_token: int  # the next lease gets a greater fencing token
    documents: dict[str, int]  # active version of each replicated document; 0: none

    def to_json(self) -> dict[str, object]:
        """Return the output of the command as JSON."""
        return {
            "identity": self.identity,
            "group": self.group,
            "entries": self.last_index,
            "token": self.last_token,
            "documents": self.documents,
        }


def create_group(folder: Path, node: str, identity: str, group: str) -> None:
    """Create a group whose only voter is the replica in `folder`; it admits the other voters once it runs.

    Raises:
        StoreError: the store can't be written.
        StoreRefusedError: a store already exists.
    """
    store = ReplicaStore(folder)
    if store.path.exists():
        raise StoreRefusedError(
            store.path, "already exists: this voter is a member of a group or waits to be admitted to one"
        )
    store.open(node, identity)
    try:
        store.set_group(group)
        first_snapshot = Snapshot(0, 0, Configuration((identity,)), "")
        store.save(Ready(number=1, term=0, voted_for="", snapshot=first_snapshot))
    finally:
        store.close()


def recover_group(folder: Path, node: str, group: str) -> RecoveredGroup:
    """Create the group `group` whose only member is this replica, from the state in its store.

    All entries of the store's log count, committed or not: leases, task runs, documents, the roster and quota shares.
    The stores of the other replicas still belong to the previous group. Fencing tokens and the version numbers of
    documents continue far above the known ones, because log entries that only the other replicas had may have issued
    some. A node that acted on such a version reports that the group went back to an older one.

    Raises:
        StoreError: the store can't be read or written.
        StoreRefusedError: there is no store to recover from.
    """
    store = ReplicaStore(folder)
    if not store.path.exists():
        raise StoreRefusedError(store.path, "does not exist: there is no state to recover the group from")
    opened = store.open(node, "")
    try:
        if opened.fresh:
            raise StoreRefusedError(store.path, "contained no state of this replica")
        leases, documents, machines = _replay_whole_log(opened.state)
        snapshot = _recovered_snapshot(opened.identity, opened.state, machines)
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
        versions = {name: document.active_number for name, document in documents.documents.items()}
        return RecoveredGroup(opened.identity, group, snapshot.index, leases.last_token, versions)
    finally:
        store.close()


def _replay_whole_log(state: PersistentState) -> tuple[LeaseTable, ConfigStore, StateMachines]:
    """Return the state after all entries of the log, uncommitted ones included, with the gaps in its numbers."""
    leases = LeaseTable()
    others = state_machines(leases)
    documents = others["rules"]
    assert isinstance(documents, ConfigStore)
    machines = StateMachines({"leases": leases, **others})
    if state.snapshot.data:
        machines.restore(state.snapshot.data)
    for entry in state.entries:
        if entry.entry_type is EntryType.COMMAND:
            machines.apply(entry.body)
    leases.last_token += TOKEN_GAP
    documents.skip_version_numbers(VERSION_GAP)
    return leases, documents, machines


def _recovered_snapshot(identity: str, state: PersistentState, machines: StateMachines) -> Snapshot:
    """Return a snapshot of the state machines at the end of the log, with this replica as the only voter."""
    last_index = state.entries[-1].index if state.entries else state.snapshot.index
    return Snapshot(last_index, state.term + 1, Configuration((identity,)), machines.snapshot())
