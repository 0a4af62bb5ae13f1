"""How long connections may stay idle, by how many are open and how busy the cores are."""

from __future__ import annotations


def connections_to_retain(in_use: int, is_busy: bool, cores: int, max_concurrency: float) -> float:
    """Return how many connections the server aims to keep open.

    Those in use, and as many idle ones as could be put to use: while the cores have time to spare, as many as
    the server could run; on busy cores, about as many as are in use, since each open connection costs.

    Args:
        in_use: unfinished requests, each of which holds a connection.
        is_busy: whether the cores are busy.
        cores: of the server.
        max_concurrency: runs on the cores that the server survives.
    """
    idle = in_use + cores if is_busy else max_concurrency
    return in_use + idle


def adjusted_idle_timeout_us(
    current_us: int, retained: float, open_connections: float, tick_us: int, max_us: int
) -> int:
    """Return the idle timeout that fits the number of open connections, in microseconds.

    It shrinks in proportion as more connections are open than the server aims to keep, and grows as fewer
    are: a tick at least, the timeout of the settings at most.

    Args:
        current_us: the idle timeout at present, in microseconds.
        retained: how many connections the server aims to keep open.
        open_connections: how many are open; above 0.
        tick_us: the controller's shortest wait, in microseconds.
        max_us: the idle timeout of the settings, in microseconds.
    """
    fitting_us = max(tick_us, current_us * retained / open_connections)
    return int(min(max_us, fitting_us))
