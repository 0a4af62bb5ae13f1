"""The concurrency that a server survives, and the portion of it that one process may use."""

from __future__ import annotations


def warm_up_share(elapsed_us: int, warm_up_us: int, initial_share: float) -> float:
    """Return the share of its full capacity that a server has during warm-up, 0 to 1.

    The share grows linearly from the initial share at the start to 1 at the end of the warm-up.

    Args:
        elapsed_us: Time since the start of the server, in microseconds.
        warm_up_us: Duration of the warm-up, in microseconds; above 0.
        initial_share: Share of the capacity at the start, 0 to 1.
    """
    warmed_up = elapsed_us / warm_up_us
    return min(1.0, initial_share + (1 - initial_share) * warmed_up)


def survivable_concurrency(cores: int, overload_factor: float, warm_share: float, portion: float) -> float:
    """Return how many requests may be on the cores at once without the server crashing from overload.

    A warm server survives `overload_factor` requests per core. During warm-up it survives fewer, but always
    one per core. A process that shares the server may use only its portion.

    Args:
        cores: Number of cores of the server.
        overload_factor: Requests per core that a warm server survives.
        warm_share: Current share of its full capacity that the server has, 0 to 1.
        portion: Portion of the server that belongs to this process, 0 to 1.
    """
    return cores * (1 + (overload_factor - 1) * warm_share) * portion
