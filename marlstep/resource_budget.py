"""Memory and descriptor budget: how many requests and connections a node has capacity for."""

from __future__ import annotations

from typing import NamedTuple

from marlstep.config import Config, UwsgiConfig
from marlstep.core.request_registry import MAX_REQUESTS, REQUEST_MEMORY

HEALTH_ENDPOINT_CONNECTIONS = 48
RESERVED_DESCRIPTORS = 64  # descriptors of one process for anything but frontend connections
BASE_MEMORY = 20 << 20  # bytes that one process uses before its first request
MIN_WORKING_MEMORY = 2 << 20  # bytes for requests and connections, even under a smaller memory limit
CONNECTION_MEMORY = 16 << 10  # bytes: ring buffers, objects and the buffers of the transport
MIN_CONNECTIONS = 16
PACKET_MEMORY_DIVISOR = 4  # uwsgi packets that are read or run may take this part (1/n) of the working memory
MAX_UWSGI_HEAD_BYTES = (
    4 + 65_535
)  # of a packet without its body: the header, and variables whose size has 16 bits
BUFFER_GROWTH_DIVISOR = 8  # a growing buffer takes up to this part (1/n) more than its contents
MIN_KEY_MEMORY = (
    1 << 20
)  # bytes for requests in flight, keys and results of a process, even under a smaller limit


class ResourceBudget(NamedTuple):
    """The maximum numbers of requests and connections that a node holds at once."""

    requests: int
    connections: int


def resource_budget(config: Config, processes: int) -> ResourceBudget:
    """Derive the budget of a node from the limits in its configuration.

    Of the memory that the processes themselves leave, half is for requests and half for connections.

    Args:
        config: names the memory and descriptor limits.
        processes: how many processes of the node share them.
    """
    half_bytes = _working_memory(config, processes) // 2
    reserved = RESERVED_DESCRIPTORS + (HEALTH_ENDPOINT_CONNECTIONS if config.health_listen else 0)
    descriptors = config.max_descriptors - processes * reserved
    # Under a small descriptor limit, clients still get the minimum.
    connections = max(min(descriptors, half_bytes // CONNECTION_MEMORY), MIN_CONNECTIONS)
    return ResourceBudget(min(MAX_REQUESTS, half_bytes // REQUEST_MEMORY), connections)


def key_memory_budget(config: Config, processes: int) -> int:
    """Return the bytes that requests in flight, idempotency keys and kept results share in one process.

    It is what the connections and the buffers of uwsgi requests leave at their limits. The processes of a node have the
    same keys, so each gets an equal part, whatever its share of the node's capacity.

    Args:
        config: names the memory limit.
        processes: how many processes of the node share it.
    """
    connections = resource_budget(config, processes).connections * CONNECTION_MEMORY
    uwsgi_buffers = 0
    if config.uwsgi is not None:
        responses = config.uwsgi.max_connections * config.uwsgi.max_response_bytes
        uwsgi_buffers = responses + processes * _packet_buffer_budget(config.uwsgi, config, processes)
    left = _working_memory(config, processes) - connections - uwsgi_buffers
    return max(MIN_KEY_MEMORY, left // processes)


def packet_memory_budget(config: Config, processes: int) -> int:
    """Return the bytes of uwsgi packets that one process may hold; 0 without a uwsgi frontend.

    Args:
        config: names the memory limit, and the limits of uwsgi requests.
        processes: how many processes of the node share it.
    """
    if config.uwsgi is None:
        return 0
    buffers = _packet_buffer_budget(config.uwsgi, config, processes)
    return buffers * BUFFER_GROWTH_DIVISOR // (BUFFER_GROWTH_DIVISOR + 1)


def _packet_buffer_budget(uwsgi: UwsgiConfig, config: Config, processes: int) -> int:
    """Return the bytes that the buffers of uwsgi packets may take in one process.

    It is a part of the working memory, but at least one packet of the largest size, and no more than all connections
    can use.
    """
    packet_bytes = MAX_UWSGI_HEAD_BYTES + uwsgi.max_body_bytes
    buffer_bytes = packet_bytes + packet_bytes // BUFFER_GROWTH_DIVISOR + 1
    share = _working_memory(config, processes) // PACKET_MEMORY_DIVISOR // processes
    return max(buffer_bytes, min(share, uwsgi.max_connections * buffer_bytes))


def _working_memory(config: Config, processes: int) -> int:
    """Return the bytes that the processes themselves leave for requests and connections."""
    return max(MIN_WORKING_MEMORY, config.memory_bytes - processes * BASE_MEMORY)
