"""`marlstep fleet init` and `recover`: create or recover the store of a voter whose node is stopped."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

import click

from marlstep.cli.errors import CommandError, OptionError
from marlstep.cli.output import print_json
from marlstep.config import ConfigError, load
from marlstep.config.cluster import ClusterConfig

FIRST_EPOCH = 1
MAX_EPOCH = 999_999
GROUP_ID_BYTES = 8
MEMBER_ID_BYTES = 6
NOT_CONFIRMED = "stop the other voters, and say so with --yes: two groups must not act at once"


@click.command()
@click.option("--config", type=click.Path(), help="The platform's JSON; else PROXY_CONFIG names it.")
@click.option("--operator", type=click.Path(), required=True)
def init(config: str | None, operator: str) -> None:
    """Make a new group, of this voter alone. Once for a fleet, on one voter, before it is first started.

    The other voters start with nothing, ask to be taken in, and vote once they have caught up.
    """
    from marlstep.cluster.recovery import create_group
    from marlstep.cluster.store_errors import StoreError, StoreRefusedError

    voter, store = _read_voter(config, operator)
    group_name = _new_group_name(FIRST_EPOCH)
    member = f"{voter.node}#{secrets.token_hex(MEMBER_ID_BYTES)}"
    try:
        create_group(store, voter.node, member, group_name)
    except (StoreError, StoreRefusedError) as error:
        raise CommandError(str(error)) from error
    click.echo(
        f"group {group_name}: {voter.node} votes alone until others are taken in; the store is {store}"
    )


@click.command()
@click.option("--config", type=click.Path(), help="The platform's JSON; else PROXY_CONFIG names it.")
@click.option("--operator", type=click.Path(), required=True)
@click.option(
    "--epoch", type=click.IntRange(2, MAX_EPOCH), required=True, help="One more than the lost group's."
)
@click.option(
    "--yes",
    "is_confirmed",
    is_flag=True,
    help="The other voters are stopped, and stay so until this one runs.",
)
def recover(config: str | None, operator: str, epoch: int, is_confirmed: bool) -> None:
    """Go on with this voter alone, after a majority was lost for good. What only the others had is lost.

    Tokens go on a million above those that this store knows, so that no old one can pass for new.
    """
    from marlstep.cluster.recovery import recover_group
    from marlstep.cluster.store_errors import StoreError, StoreRefusedError

    if not is_confirmed:
        raise OptionError(NOT_CONFIRMED)
    voter, store = _read_voter(config, operator)
    try:
        recovered = recover_group(store, voter.node, _new_group_name(epoch))
    except (StoreError, StoreRefusedError) as error:
        raise CommandError(str(error)) from error
    print_json(recovered.to_json())


def _new_group_name(epoch: int) -> str:
    return f"{epoch}.{secrets.token_hex(GROUP_ID_BYTES)}"


def _read_voter(config: str | None, operator: str) -> tuple[ClusterConfig, Path]:
    """Return the cluster configuration of a voter, and the path of its store.

    Raises:
        OptionError: the configuration is invalid, or the node is not a voter.
    """
    environ = dict(os.environ)
    if config is not None:
        environ["PROXY_CONFIG"] = config
    try:
        cluster = load(environ, operator).cluster
    except ConfigError as error:
        raise OptionError(str(error)) from error
    if cluster is None or cluster.store is None:
        raise OptionError.from_problem(operator, "this node is no voter of a [fleet]")
    return cluster, cluster.store
