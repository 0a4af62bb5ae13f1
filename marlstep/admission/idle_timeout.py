"""The idle timeout of connections, from the number of open connections and the load of the cores."""

from __future__ import annotations


def connections_to_retain(in_use: int, is_busy: bool, cores: int, max_concurrency: float) -> float:
    """Return how many connections the server aims to keep open.

    These are the connections in use and some idle ones: while the cores are not busy, as many as the server
    could run requests; on busy cores, about as many as are in use, since each open connection costs.

    Args:
        in_use: Number of unfinished requests, each of which holds a connection.
        is_busy: Whether the cores are busy.
        cores: Number of cores of the server.
        max_concurrency: How many runs on the cores the server survives.
    """
    idle = in_use + cores if is_busy else max_concurrency
    return in_use + idle


def adjusted_idle_timeout_us(
    current_us: int, retained: float, open_connections: float, tick_us: int, max_us: int
) -> int:
    """Return the idle timeout that fits the number of open connections, in microseconds.

    The timeout changes by the ratio of the connections that the server aims to keep to those that are open.
    It is at least one tick and at most the configured timeout.

    Args:
        current_us: The current idle timeout, in microseconds.
        retained: Number of connections that the server aims to keep open.
        open_connections: Number of open connections; above 0.
        tick_us: The controller's shortest wait, in microseconds.
        max_us: The configured idle timeout, in microseconds.
    """
    fitting_us = max(tick_us, current_us * retained / open_connections)
    return int(min(max_us, fitting_us))
