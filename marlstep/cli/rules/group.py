"""The commands of `marlstep rules`, as one group."""

from __future__ import annotations

import click

from marlstep.cli.rules.diff import diff
from marlstep.cli.rules.get import get
from marlstep.cli.rules.go import go
from marlstep.cli.rules.log import log
from marlstep.cli.rules.pin import fix, unfix
from marlstep.cli.rules.put import put
from marlstep.cli.rules.rollback import rollback
from marlstep.cli.rules.stage import stage
from marlstep.cli.rules.status import status
from marlstep.cli.rules.withdraw import withdraw


@click.group()
def group() -> None:
    """Documents on which the nodes of a fleet agree: settings, tenants, lists of servers."""


for command in (put, stage, go, get, log, diff, rollback, withdraw, status, fix, unfix):
    group.add_command(command)
