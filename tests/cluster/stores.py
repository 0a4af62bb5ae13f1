"""What the tests of the cluster's storage share."""

from __future__ import annotations

from pathlib import Path

from marlstep.cluster.store import OpenedStore, ReplicaStore


def reopened(folder: Path, identity: str = "n1#new") -> OpenedStore:
    """What a closed store of node `n1` gives when it is opened; it is closed again."""
    store = ReplicaStore(folder)
    try:
        return store.open("n1", identity)
    finally:
        store.close()
