"""What a database call may cost, and which connection it takes. Pure.

Each connection carries one call at a time, so that a reply which can't be read, does not end or never comes costs that
call alone.
"""

from __future__ import annotations

import enum
from datetime import datetime

from marlstep.units import MILLISECOND, SECOND

LATE_REPLY_GRACE = 50 * MILLISECOND  # after a call's time, in which its reply may still arrive
IDLE_CONNECTION_TIMEOUT = 2 * SECOND  # an idle connection is closed then; the database does so after 10 s
MAX_IDLE_CONNECTIONS = 16
MAX_CONNECTIONS = 40  # open or being opened


class ConnectionChoice(enum.Enum):
    """How the first call in the queue gets its connection."""

    FAIL = enum.auto()  # there is no database: the call never ran
    USE_IDLE = enum.auto()
    OPEN = enum.auto()
    REPLACE_IDLE = enum.auto()  # close an idle one, which makes room for a new one
    WAIT = enum.auto()  # until a call in flight ends


def call_timeout_at(until: datetime) -> datetime:
    """Return when a call without a reply ends as timed out: its time, and a grace for a reply that is on its way."""
    return until + LATE_REPLY_GRACE


def may_use_idle_connection(is_idempotent: bool, request_id: str, last_request_id: str) -> bool:
    """Whether a call may go out on a connection that has carried another before and lain idle.

    An idempotent call may. A call that must not run twice opens a new connection, since the database may have dropped
    an idle one, and the reset would leave open whether the call ran. The exception: after a call for the same request,
    a duplicate of its reply may still come, and would be mistaken for the reply to this one.
    """
    return is_idempotent and request_id != last_request_id


def is_reusable(carried_call: bool, connected: bool, has_foreign_reply: bool, has_unread_input: bool) -> bool:
    """Whether a connection is kept for another call once its call has ended.

    It is after exactly one complete reply. Input that belongs to no call means that a later reply may not be the one
    to its call, so the connection is dropped.
    """
    return carried_call and connected and not (has_foreign_reply or has_unread_input)


def choose_connection(
    has_address: bool, may_use_idle: bool, connection_count: int, idle_count: int
) -> ConnectionChoice:
    """Choose how the first call in the queue gets its connection.

    An idle one where the call may use it, else a new one. The number of connections is bounded, opening ones included;
    at the bound an idle one that this call may not use makes room, and without idle ones the call waits.
    """
    if not has_address:
        return ConnectionChoice.FAIL
    if may_use_idle:
        return ConnectionChoice.USE_IDLE
    if connection_count < MAX_CONNECTIONS:
        return ConnectionChoice.OPEN
    return ConnectionChoice.REPLACE_IDLE if idle_count else ConnectionChoice.WAIT


def evicts_idle_connection(idle_count: int) -> bool:
    """Whether the longest idle connection closes when one more becomes idle; each at-most-once call leaves one."""
    return idle_count >= MAX_IDLE_CONNECTIONS
