"""Lease commands: their stored form, and the replicated error texts of invalid ones."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.leases.commands import EndLease, EndReason, GrantLease, LeaseCommand, parse_lease_command


@pytest.mark.parametrize(
    "command",
    [
        GrantLease("task/t", "a/1", 3),
        EndLease("task/t", 7, EndReason.EXPIRED),
        EndLease("task/t", 7, EndReason.RETURNED),
    ],
)
def test_a_command_is_parsed_from_its_stored_form(command: LeaseCommand) -> None:
    assert parse_lease_command(command.to_json()) == command


@pytest.mark.parametrize(
    ("stored", "error"),
    [
        ({"do": "grant", "name": "", "holder": "a/1", "most": 0}, 'ValueError("a lease\'s name")'),
        ({"do": "grant", "name": 5, "holder": "a/1", "most": 0}, 'ValueError("a lease\'s name")'),
        ({"do": "other", "name": "x"}, "ValueError(\"nothing that is done to a lease: 'other'\")"),
        ({"do": ["grant"], "name": "x"}, "ValueError(\"nothing that is done to a lease: ['grant']\")"),
        ({"do": "grant", "name": "x", "holder": "a/1"}, "KeyError('most')"),
        ({"do": "expire", "name": "x"}, "KeyError('token')"),
        ({"name": "x"}, "KeyError('do')"),
        ({}, "KeyError('name')"),
    ],
)
def test_an_invalid_command_raises_an_error_with_its_replicated_text(
    stored: dict[str, Any], error: str
) -> None:
    with pytest.raises((ValueError, KeyError)) as raised:
        parse_lease_command(stored)
    assert repr(raised.value) == error
