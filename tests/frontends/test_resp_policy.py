"""When a RESP connection rejects requests, stops reading, and closes."""

from __future__ import annotations

import pytest

from marlstep.frontends import resp_policy


def test_requests_are_accepted_up_to_the_limit_of_open_requests() -> None:
    assert resp_policy.accepts_another_request(resp_policy.MAX_OPEN_REQUESTS - 1)
    assert not resp_policy.accepts_another_request(resp_policy.MAX_OPEN_REQUESTS)


def test_a_connection_has_too_many_invalid_requests_once_the_limit_is_reached() -> None:
    assert not resp_policy.has_too_many_invalid_requests(resp_policy.MAX_INVALID_REQUESTS - 1)
    assert resp_policy.has_too_many_invalid_requests(resp_policy.MAX_INVALID_REQUESTS)


@pytest.mark.parametrize(
    ("at_eof", "send_blocked", "expected"),
    [(False, False, False), (True, True, False), (True, False, True)],
)
def test_a_half_closed_connection_is_read_to_its_end_before_it_closes(
    at_eof: bool, send_blocked: bool, expected: bool
) -> None:
    assert resp_policy.has_read_everything(at_eof, send_blocked) is expected
    assert resp_policy.closes_after_last_response(False, at_eof, send_blocked) is expected
    assert resp_policy.closes_after_last_response(True, at_eof, send_blocked)


@pytest.mark.parametrize(
    ("send_blocked", "unparsed_bytes", "inside_frame", "is_unproven"),
    [(True, 0, False, False), (False, 1, False, False), (False, 0, True, False), (False, 0, False, True)],
)
def test_the_read_timeout_runs_while_input_or_output_is_pending(
    send_blocked: bool, unparsed_bytes: int, inside_frame: bool, is_unproven: bool
) -> None:
    assert resp_policy.waits_for_peer(send_blocked, unparsed_bytes, inside_frame, is_unproven)


@pytest.mark.parametrize(
    ("is_malformed", "open_requests", "expected"), [(True, 0, True), (True, 1, False), (False, 0, False)]
)
def test_a_drain_closes_at_once_only_if_the_stream_is_malformed_and_no_request_is_open(
    is_malformed: bool, open_requests: int, expected: bool
) -> None:
    assert resp_policy.drains_at_once(is_malformed, open_requests) is expected


def test_the_read_timeout_does_not_run_while_nothing_is_pending() -> None:
    assert not resp_policy.waits_for_peer(False, 0, False, False)


@pytest.mark.parametrize(
    ("connected", "open_requests", "is_malformed", "send_blocked", "incomplete_input", "expected"),
    [
        (True, 1, True, False, False, True),
        (True, 0, False, True, False, True),
        (True, 0, False, False, True, True),
        (True, 0, False, False, False, False),
        (True, 0, True, True, True, False),  # nothing more is read from a malformed stream
        (False, 1, False, True, True, False),
    ],
)
def test_an_announced_close_waits_for_open_requests_and_unread_input(
    connected: bool,
    open_requests: int,
    is_malformed: bool,
    send_blocked: bool,
    incomplete_input: bool,
    expected: bool,
) -> None:
    postponed = resp_policy.postpones_close(
        connected, open_requests, is_malformed, send_blocked, incomplete_input
    )
    assert postponed is expected
