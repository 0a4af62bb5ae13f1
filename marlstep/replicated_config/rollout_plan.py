"""Planning of a canary rollout: the choice of its nodes, and the validation of its criteria."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence

from marlstep.replicated_config.commands import Number, PrepareVersion, RolloutRequest
from marlstep.replicated_config.documents import Rollout
from marlstep.replicated_config.errors import (
    FirstVersionRolloutError,
    InvalidRolloutBoundsError,
    InvalidRolloutShareError,
    NoControlGroupError,
    NodesNotActiveError,
    StrictRolloutError,
)

MAX_ROLLOUT_MS = 7 * 24 * 3_600_000


def node_of_process(process: str) -> str:
    """Return the node of a process whose name has the form `node/process`."""
    return process.partition("/")[0]


def plan_rollout(
    change: PrepareVersion, request: RolloutRequest, active_version: int, live_processes: Iterable[str]
) -> Rollout:
    """Plan the canary rollout of a change.

    Args:
        change: The new version; its document must not be strict.
        request: The nodes, or the share of the nodes, and the criteria that the operator requests.
        active_version: Number of the active version, with which the new one is compared; 0: none.
        live_processes: Processes with a live configuration lease, as `node/process`.

    Raises:
        RolloutRejectedError: A rollout is not possible for this document or with the live nodes.
        InvalidRolloutShareError, InvalidRolloutBoundsError: A value of the request is out of bounds.
        KeyError: A value of the request is missing.
    """
    if change.strict:
        raise StrictRolloutError
    if not active_version:
        raise FirstVersionRolloutError
    live_nodes = sorted({node_of_process(process) for process in live_processes})
    nodes = sorted(set(request.nodes))
    if not nodes:
        nodes = _sample_nodes(live_nodes, request.share, f"{change.document} {active_version}")
    if missing := [node for node in nodes if node not in live_nodes]:
        raise NodesNotActiveError(missing)
    if len(nodes) >= len(live_nodes):
        raise NoControlGroupError
    return _build_rollout(nodes, request)


def _sample_nodes(live_nodes: Sequence[str], share: float | None, seed: str) -> list[str]:
    """Choose a share of the nodes by a hash, so that all replicas choose the same ones.

    The hash contains the document's name and active version (`seed`), so the choice changes with it.
    """
    required_share = _required("share", share)
    if not 0 < required_share < 1:
        raise InvalidRolloutShareError
    shuffled = sorted(live_nodes, key=lambda node: hashlib.blake2b(f"{node} {seed}".encode()).digest())
    return sorted(shuffled[: max(1, math.ceil(required_share * len(live_nodes)))])


def _build_rollout(nodes: list[str], request: RolloutRequest) -> Rollout:
    duration_ms = _required("for_ms", request.duration_ms)
    min_requests = _required("least", request.min_requests)
    max_degradation = _required("worse", request.max_degradation)
    if not 0 < duration_ms <= MAX_ROLLOUT_MS or min_requests < 0 or not 0 <= max_degradation <= 1:
        raise InvalidRolloutBoundsError
    return Rollout(nodes, duration_ms, max_degradation, min_requests)


def _required(key: str, value: Number | None) -> Number:
    if value is None:
        raise KeyError(key)
    return value
