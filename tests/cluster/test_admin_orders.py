"""Operators' orders about members, as commands of the roster."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.cluster.admin import members_command
from marlstep.cluster.errors import UnknownOrderError


@pytest.mark.parametrize(
    ("order", "arguments", "command"),
    [
        (
            "remove",
            {"node": "n7"},
            {"do": "remove", "node": "n7", "held_off": True, "why": "an operator"},
        ),
        (
            "remove",
            {"node": "n7", "why": "its disk"},
            {"do": "remove", "node": "n7", "held_off": True, "why": "its disk"},
        ),
        ("readmit", {"node": "n7"}, {"do": "readmit", "node": "n7"}),
        ("believe", {"nodes": ["n5", "n4"]}, {"do": "believe", "nodes": ["n5", "n4"]}),
    ],
)
def test_an_order_becomes_the_command_that_the_log_stores(
    order: str, arguments: dict[str, Any], command: dict[str, Any]
) -> None:
    assert list(members_command(order, arguments).items()) == list(command.items())


def test_an_unknown_order_and_a_missing_argument_are_rejected() -> None:
    with pytest.raises(UnknownOrderError, match="there is nothing like expel"):
        members_command("expel", {"node": "n7"})
    with pytest.raises(KeyError):
        members_command("readmit", {})
