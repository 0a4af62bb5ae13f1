"""How much concurrency a process may use of what its server survives."""

from __future__ import annotations


def warm_up_share(elapsed_us: int, warm_up_us: int, initial_share: float) -> float:
    """Return the share of its capacity that a server has while it warms up, 0 to 1.

    It grows linearly from the initial share at the start to all of it after the warm-up.

    Args:
        elapsed_us: since the start of the server, in microseconds.
        warm_up_us: after which the server has its full capacity, in microseconds; above 0.
        initial_share: of the capacity, at the start, 0 to 1.
    """
    warmed_up = elapsed_us / warm_up_us
    return min(1.0, initial_share + (1 - initial_share) * warmed_up)


def survivable_concurrency(cores: int, overload_factor: float, warm_share: float, portion: float) -> float:
    """Return how many requests may be on the cores at once before the server is lost.

    A warm server survives `overload_factor` requests for each core, one that warms up less, but always one
    for each core. A process that shares the server uses its portion.

    Args:
        cores: of the server.
        overload_factor: requests for each core that a warm server survives.
        warm_share: share of its capacity that the server has at present, 0 to 1.
        portion: of the server that is this process's, 0 to 1.
    """
    return cores * (1 + (overload_factor - 1) * warm_share) * portion
