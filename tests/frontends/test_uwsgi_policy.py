"""When a uwsgi connection closes without a response: at its read timeout."""

from __future__ import annotations

from marlstep.frontends import uwsgi_policy


def test_a_read_timeout_closes_a_connection_without_an_open_request() -> None:
    assert uwsgi_policy.closes_at_timeout(open_requests=0)
    assert not uwsgi_policy.closes_at_timeout(open_requests=1)
