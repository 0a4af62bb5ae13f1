"""Time limits of database calls, and which connection a call uses."""

from __future__ import annotations

import pytest

from marlstep.platform.call_policy import (
    MAX_CONNECTIONS,
    MAX_IDLE_CONNECTIONS,
    ConnectionChoice,
    call_timeout_at,
    choose_connection,
    evicts_idle_connection,
    is_reusable,
    may_use_idle_connection,
)
from marlstep.units import MILLISECOND
from tests.support.node import START


def test_a_call_times_out_after_its_time_limit_plus_a_grace_period() -> None:
    assert call_timeout_at(START) == START + 50 * MILLISECOND


@pytest.mark.parametrize(
    ("is_idempotent", "last_request_id", "expected"),
    [(True, "other", True), (False, "other", False), (True, "same", False)],
)
def test_only_an_idempotent_call_reuses_an_idle_connection_unless_its_own_request_used_it_last(
    is_idempotent: bool, last_request_id: str, expected: bool
) -> None:
    assert may_use_idle_connection(is_idempotent, "same", last_request_id) is expected


@pytest.mark.parametrize(
    ("carried_call", "connected", "has_foreign_reply", "has_unread_input", "expected"),
    [
        (True, True, False, False, True),
        (False, True, False, False, False),
        (True, False, False, False, False),
        (True, True, True, False, False),
        (True, True, False, True, False),
    ],
)
def test_a_connection_is_reused_after_one_complete_reply_and_nothing_else(
    carried_call: bool, connected: bool, has_foreign_reply: bool, has_unread_input: bool, expected: bool
) -> None:
    assert is_reusable(carried_call, connected, has_foreign_reply, has_unread_input) is expected


@pytest.mark.parametrize(
    ("has_address", "may_use_idle", "connection_count", "idle_count", "expected"),
    [
        (False, False, 0, 0, ConnectionChoice.FAIL),
        (True, True, MAX_CONNECTIONS, 1, ConnectionChoice.USE_IDLE),
        (True, False, MAX_CONNECTIONS - 1, 1, ConnectionChoice.OPEN),
        (True, False, MAX_CONNECTIONS, 1, ConnectionChoice.REPLACE_IDLE),
        (True, False, MAX_CONNECTIONS, 0, ConnectionChoice.WAIT),
    ],
)
def test_a_queued_call_gets_an_idle_connection_or_a_new_one_within_the_limit(
    has_address: bool, may_use_idle: bool, connection_count: int, idle_count: int, expected: ConnectionChoice
) -> None:
    assert choose_connection(has_address, may_use_idle, connection_count, idle_count) is expected


def test_idle_connections_are_bounded() -> None:
    assert not evicts_idle_connection(MAX_IDLE_CONNECTIONS - 1)
    assert evicts_idle_connection(MAX_IDLE_CONNECTIONS)
