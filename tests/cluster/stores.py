"""Helpers for tests of the replica store."""

from __future__ import annotations

from pathlib import Path

from marlstep.cluster.store import OpenedStore, ReplicaStore


def reopen(folder: Path, identity: str = "n1#new") -> OpenedStore:
    """Open a closed store of node `n1`, close it again, and return the content that it had when it was opened."""
    store = ReplicaStore(folder)
    try:
        return store.open("n1", identity)
    finally:
        store.close()
