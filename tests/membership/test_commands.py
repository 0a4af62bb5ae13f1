"""Replicated log commands of the roster and of quotas."""

from __future__ import annotations

import pytest

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError
from marlstep.membership.quota_commands import (
    ConfirmShrink,
    GrowShare,
    QuotaCommand,
    SetTenants,
    ShrinkShare,
    parse_quota_command,
)
from marlstep.membership.quota_table import QuotaTable
from marlstep.membership.roster_commands import (
    AdmitNode,
    ConfirmFailures,
    ReadmitNode,
    RemoveNode,
    RosterCommand,
    parse_roster_command,
)
from tests.membership.support import leases_and_quotas


@pytest.mark.parametrize(
    ("command", "keys"),
    [
        (AdmitNode("a"), "m do node"),
        (RemoveNode("a", "failed"), "m do node why"),
        (RemoveNode("a", "replaced", blocked_by_operator=True), "m do node held_off why"),
        (ReadmitNode("a"), "m do node"),
        (ConfirmFailures(("a", "b")), "m do nodes"),
    ],
)
def test_a_roster_command_keeps_its_keys_and_is_read_back(command: RosterCommand, keys: str) -> None:
    assert " ".join(command.to_json()) == keys
    assert parse_roster_command(command.to_json()) == command


@pytest.mark.parametrize(
    ("command", "keys"),
    [
        (SetTenants(("t", "u")), "m do names"),
        (GrowShare("t", "a/1", 5), "m tenant do holder to"),
        (ShrinkShare("t", "a/1", 5), "m tenant do holder to"),
        (ConfirmShrink("t", "a/1", 5), "m do tenant holder to"),
    ],
)
def test_a_quota_command_keeps_its_keys_and_is_read_back(command: QuotaCommand, keys: str) -> None:
    assert " ".join(command.to_json()) == keys
    assert parse_quota_command(command.to_json()) == command


@pytest.mark.parametrize(
    ("command", "text"),
    [
        ({"do": "admit", "node": ""}, "a node's name"),
        ({"do": "admit", "node": "n" * 65}, "a node's name"),
        ({"do": "other", "node": "a"}, "nothing that is done to a member: 'other'"),
    ],
)
def test_an_invalid_roster_command_raises_the_error_text_of_replicated_results(
    command: CommandJson, text: str
) -> None:
    with pytest.raises(InvalidCommandError) as caught:
        parse_roster_command(command)
    assert repr(caught.value) == f"ValueError({text!r})"


def test_the_arguments_of_an_unknown_share_change_are_checked_before_its_action() -> None:
    table: QuotaTable = leases_and_quotas("a/1")[1]
    change = {"do": "other", "tenant": "t", "holder": "a/1", "to": 5}
    assert "refused" in table.apply({**change, "holder": "nobody/1"})
    with pytest.raises(InvalidCommandError, match="nothing that is done to a part: 'other'"):
        table.apply(change)
