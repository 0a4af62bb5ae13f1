"""The uwsgi frontend as a component."""

from __future__ import annotations

from marlstep.components.uwsgi import connection_limit


def test_the_connection_limit_is_the_configured_one_up_to_the_share_of_the_node() -> None:
    assert connection_limit(configured=100, node_connections=1_000) == 100
    assert connection_limit(configured=1_000, node_connections=1_000) == 250
