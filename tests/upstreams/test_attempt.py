"""Tests of the life cycle of one attempt; its end is reported once."""

from __future__ import annotations

import pytest

from marlstep.load_balancing.retry_policy import AttemptOutcome
from marlstep.units import MILLISECOND
from marlstep.upstreams.attempt import Attempt, AttemptState
from marlstep.upstreams.errors import (
    AttemptError,
    ConnectError,
    ConnectTimeoutError,
    MalformedResponseError,
    ServerDisconnectedError,
    TruncatedResponseError,
)
from tests.support.node import FakeTransport, ManualClock, ManualDialer

PACKET = b"\x00\x00\x00\x00"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RecordingOwner:
    """Records how its attempt ended, and releases it as the backend does."""

    response_limit = 4096

    def __init__(self) -> None:
        self.clock, self.dial = ManualClock(), ManualDialer()
        self.ends: list[tuple[AttemptOutcome, AttemptError | None]] = []
        self.attempt = Attempt(self, "r1", PACKET, self.clock.now(), (503,), "x-boot-id")
        self.attempt.open(self.dial, ("127.0.0.1", 1), self.clock.timeline, 200 * MILLISECOND)

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, error: AttemptError | None) -> None:
        self.ends.append((outcome, error))
        attempt.release()

    @property
    def end(self) -> tuple[AttemptOutcome, type[AttemptError] | None]:
        """Outcome and type of error of the only reported end."""
        [(outcome, error)] = self.ends
        assert self.attempt.state is AttemptState.ENDED
        return outcome, None if error is None else type(error)


def test_an_attempt_sends_its_request_once_connected_and_ends_with_the_response() -> None:
    owner = RecordingOwner()
    states = [owner.attempt.state]
    wire = owner.dial.accept()
    states.append(owner.attempt.state)
    assert states == [AttemptState.CONNECTING, AttemptState.AWAITING_RESPONSE] and wire.take() == PACKET
    wire.feed(OK)
    assert owner.end == (AttemptOutcome.SUCCEEDED, None) and owner.attempt.response == OK and wire.closed


def test_a_configured_status_ends_the_attempt_as_rejected() -> None:
    owner = RecordingOwner()
    owner.dial.accept().feed(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
    assert owner.end == (AttemptOutcome.REJECTED, None)


def test_a_refused_connection_ends_the_attempt_as_connect_failed() -> None:
    owner = RecordingOwner()
    owner.dial.refuse()
    assert owner.end == (AttemptOutcome.CONNECT_FAILED, ConnectError)


def test_a_connect_that_times_out_ends_the_attempt() -> None:
    owner = RecordingOwner()
    owner.clock.advance(199)
    assert not owner.ends
    owner.clock.advance(1)
    assert owner.end == (AttemptOutcome.CONNECT_FAILED, ConnectTimeoutError) and not owner.dial.waiting


def test_the_connect_timeout_is_cancelled_once_the_connection_opens() -> None:
    owner = RecordingOwner()
    owner.dial.accept()
    owner.clock.advance(10_000)
    assert not owner.ends


def test_a_connect_error_after_the_request_was_sent_counts_as_a_lost_connection() -> None:
    owner = RecordingOwner()
    owner.dial.accept()
    owner.attempt.connect_failed(ConnectError(ConnectionResetError()))
    assert owner.end == (AttemptOutcome.CONNECTION_LOST, ConnectError)


def test_a_connection_that_closes_before_the_response_is_lost() -> None:
    owner = RecordingOwner()
    owner.dial.accept().close()
    assert owner.end == (AttemptOutcome.CONNECTION_LOST, ServerDisconnectedError)


@pytest.mark.parametrize(
    ("data", "error"), [(b"junk\r\n\r\n", MalformedResponseError), (OK[:-1], TruncatedResponseError)]
)
def test_an_attempt_with_an_invalid_response_ends_as_connection_lost(
    data: bytes, error: type[AttemptError]
) -> None:
    owner = RecordingOwner()
    wire = owner.dial.accept()
    wire.feed(data)
    if not wire.closed:
        wire.stream.eof_received()
    assert owner.end == (AttemptOutcome.CONNECTION_LOST, error)


def test_a_cancelled_attempt_sends_nothing_on_a_connection_that_opens_late() -> None:
    owner = RecordingOwner()
    make_protocol, _, _ = owner.dial.waiting[0]
    owner.attempt.cancel()
    late_wire = FakeTransport(make_protocol())  # type: ignore[arg-type]
    assert owner.end == (AttemptOutcome.CANCELLED, None) and late_wire.closed and not late_wire.written


def test_the_end_is_reported_once() -> None:
    owner = RecordingOwner()
    owner.dial.accept().feed(OK)
    owner.attempt.cancel()
    owner.attempt.closed()
    assert owner.end == (AttemptOutcome.SUCCEEDED, None)
