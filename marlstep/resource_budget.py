"""Memory and descriptor budget: how many requests and connections a node has capacity for."""

from __future__ import annotations

from typing import NamedTuple

from marlstep.config import Config
from marlstep.core.request_registry import MAX_REQUESTS

HEALTH_ENDPOINT_CONNECTIONS = 48
RESERVED_DESCRIPTORS = 64  # descriptors that are no frontend's connection
BASE_MEMORY = 20 << 20  # bytes that one process takes before its first request
MIN_WORKING_MEMORY = 2 << 20  # bytes for requests and connections, however small the limit is
CONNECTION_MEMORY = 16 << 10  # bytes: its rings, its objects and what its transport holds
REQUEST_MEMORY = 5 << 10  # bytes, with its body
MIN_CONNECTIONS = 16


class ResourceBudget(NamedTuple):
    """The most requests and connections that a node holds at once."""

    requests: int
    connections: int


def resource_budget(config: Config, processes: int) -> ResourceBudget:
    """Derive the budget of a node that runs as this number of processes.

    Half of the memory left beside the processes themselves is for requests, and half for connections.
    """
    half = max(MIN_WORKING_MEMORY, config.memory_bytes - processes * BASE_MEMORY) // 2
    reserved = RESERVED_DESCRIPTORS + (HEALTH_ENDPOINT_CONNECTIONS if config.health_listen else 0)
    descriptors = config.max_descriptors - processes * reserved
    # With a small limit of descriptors, clients still get their minimum.
    connections = max(min(descriptors, half // CONNECTION_MEMORY), MIN_CONNECTIONS)
    return ResourceBudget(min(MAX_REQUESTS, half // REQUEST_MEMORY), connections)
