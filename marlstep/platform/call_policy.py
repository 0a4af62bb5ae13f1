"""Time limits of database calls, and which connection a call uses. No I/O.

Each connection carries one call at a time, so that a malformed, incomplete or missing reply affects only that call.
"""

from __future__ import annotations

import enum
from datetime import datetime

from marlstep.units import MILLISECOND, SECOND

LATE_REPLY_GRACE = 50 * MILLISECOND  # after the end of a call's time limit, for a reply in transit
IDLE_CONNECTION_TIMEOUT = 2 * SECOND  # for closing an idle connection; the database closes it after 10 s
MAX_IDLE_CONNECTIONS = 16
MAX_CONNECTIONS = 40  # open or being opened


class ConnectionChoice(enum.Enum):
    """How the first call in the queue gets a connection."""

    FAIL = enum.auto()  # no database address is set: the call never ran
    USE_IDLE = enum.auto()
    OPEN = enum.auto()
    REPLACE_IDLE = enum.auto()  # close an idle connection to make room for a new one
    WAIT = enum.auto()  # until a call in flight ends


def call_timeout_at(until: datetime) -> datetime:
    """Return when a call without a reply times out: at the end of its time limit plus a grace for a late reply."""
    return until + LATE_REPLY_GRACE


def may_use_idle_connection(is_idempotent: bool, request_id: str, last_request_id: str) -> bool:
    """Return whether a call may be sent on an idle connection that has carried another call.

    Only an idempotent call may. A call that must not run twice opens a new connection: the database may have dropped
    the idle one, and after a reset it is unknown whether the call ran. Nor may a call use a connection whose
    last call was for the same request: a duplicate of that reply could be mistaken for the reply to this call.
    """
    return is_idempotent and request_id != last_request_id


def is_reusable(carried_call: bool, connected: bool, has_foreign_reply: bool, has_unread_input: bool) -> bool:
    """Return whether a connection is kept for another call after its call has ended.

    It is kept only after exactly one complete reply. After input that belongs to no call, later replies can no longer
    be matched to their calls, so the connection is dropped.

    Args:
        carried_call: whether a call was in flight when the input arrived.
        connected: whether the connection is still open.
        has_foreign_reply: whether a reply has arrived whose id is not that of the call.
        has_unread_input: whether there is input after the reply, or the peer has closed its side.
    """
    return carried_call and connected and not (has_foreign_reply or has_unread_input)


def choose_connection(
    has_address: bool, may_use_idle: bool, connection_count: int, idle_count: int
) -> ConnectionChoice:
    """Choose how the first call in the queue gets a connection.

    The call uses an idle connection if it may, and otherwise a new one. At the limit of connections, an idle connection
    that the call may not use is closed to make room; if none is idle, the call waits.

    Args:
        has_address: whether the address of the database is set.
        may_use_idle: whether a connection is idle and the call may use it.
        connection_count: number of connections that are open or being opened.
        idle_count: number of idle connections.
    """
    if not has_address:
        return ConnectionChoice.FAIL
    if may_use_idle:
        return ConnectionChoice.USE_IDLE
    if connection_count < MAX_CONNECTIONS:
        return ConnectionChoice.OPEN
    return ConnectionChoice.REPLACE_IDLE if idle_count else ConnectionChoice.WAIT


def evicts_idle_connection(idle_count: int) -> bool:
    """Return whether the connection that has been idle longest is closed when another becomes idle.

    Without a limit, idle connections would accumulate: each at-most-once call opens one and leaves it idle.
    """
    return idle_count >= MAX_IDLE_CONNECTIONS
