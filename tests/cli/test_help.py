"""Help texts of all commands, and names, types and defaults of their options, match the golden files."""

from __future__ import annotations

from typing import Any

import pytest

from tests.cli.surface import help_texts, parameters, read_golden

HELP: dict[str, str] = read_golden("help.json")
PARAMETERS: dict[str, Any] = read_golden("parameters.json")


def test_the_list_of_commands_matches_the_golden_files() -> None:
    assert list(help_texts()) == list(HELP) == list(PARAMETERS)


@pytest.mark.parametrize("command", HELP)
def test_a_command_keeps_its_help_text(command: str) -> None:
    assert help_texts()[command] == HELP[command]


@pytest.mark.parametrize("command", PARAMETERS)
def test_a_command_keeps_its_options_and_their_defaults(command: str) -> None:
    assert parameters()[command] == PARAMETERS[command]
