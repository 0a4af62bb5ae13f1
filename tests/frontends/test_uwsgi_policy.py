"""When a uwsgi connection closes without a response: at its read timeout and in a drain."""

from __future__ import annotations

import pytest

from marlstep.frontends import uwsgi_policy


def test_a_read_timeout_closes_a_connection_without_an_open_request() -> None:
    assert uwsgi_policy.closes_at_timeout(open_requests=0)
    assert not uwsgi_policy.closes_at_timeout(open_requests=1)


@pytest.mark.parametrize(
    ("open_requests", "inside_packet", "closes"),
    [(0, False, True), (0, True, False), (1, False, False), (1, True, False)],
)
def test_a_drain_closes_a_connection_without_an_open_request_or_a_partly_read_packet(
    open_requests: int, inside_packet: bool, closes: bool
) -> None:
    assert uwsgi_policy.closes_at_drain(open_requests, inside_packet) is closes
