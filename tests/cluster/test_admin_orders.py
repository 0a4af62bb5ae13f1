"""Operators' orders about members, as commands of the roster."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.cluster.admin import roster_command
from marlstep.cluster.errors import UnknownOrderError


@pytest.mark.parametrize(
    ("order", "arguments", "command"),
    [
        (
            "remove",
            {"node": "n7"},
            {"m": "members", "do": "remove", "node": "n7", "held_off": True, "why": "an operator"},
        ),
        (
            "remove",
            {"node": "n7", "why": "its disk"},
            {"m": "members", "do": "remove", "node": "n7", "held_off": True, "why": "its disk"},
        ),
        ("readmit", {"node": "n7"}, {"m": "members", "do": "readmit", "node": "n7"}),
        ("believe", {"nodes": ["n5", "n4"]}, {"m": "members", "do": "believe", "nodes": ["n5", "n4"]}),
    ],
)
def test_an_order_is_converted_to_the_stored_form_of_its_command(
    order: str, arguments: dict[str, Any], command: dict[str, Any]
) -> None:
    assert list(roster_command(order, arguments).to_json().items()) == list(command.items())


def test_an_unknown_order_and_a_missing_argument_are_rejected() -> None:
    with pytest.raises(UnknownOrderError, match="there is nothing like expel"):
        roster_command("expel", {"node": "n7"})
    with pytest.raises(KeyError):
        roster_command("readmit", {})
