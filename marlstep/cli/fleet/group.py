"""The commands of `marlstep fleet`, as one group."""

from __future__ import annotations

import click

from marlstep.cli.fleet.group_store import init, recover
from marlstep.cli.fleet.leases import leases
from marlstep.cli.fleet.log import log
from marlstep.cli.fleet.member_changes import believe, readmit, remove
from marlstep.cli.fleet.members import members
from marlstep.cli.fleet.situation import situation
from marlstep.cli.fleet.status import status


@click.group()
def group() -> None:
    """The fleet that a node is part of."""


for command in (members, situation, remove, readmit, believe, status, leases, log, init, recover):
    group.add_command(command)
