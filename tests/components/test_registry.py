"""The registry of components: each is created only if the configuration enables it, in a fixed order."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from marlstep.components.hot_restart import HotRestartComponent
from marlstep.components.uwsgi import UwsgiComponent
from marlstep.config import Config, check
from marlstep.node import Node
from marlstep.resource_budget import resource_budget
from tests.golden.everything import operator_config, platform_config
from tests.support.node import HandClock, raw_config


def made(config: Config) -> Node:
    """Create a node without opening it, within an event loop, which its cluster needs."""

    async def make() -> Node:
        return Node(config, HandClock().timeline)

    return asyncio.run(make())


def test_a_plain_node_has_no_component_and_all_connections_for_its_own_frontend() -> None:
    config = check(raw_config())
    node = made(config)
    assert node.components == {} and node.drain_controller.restart_state is None
    assert node.resp.connections.limit == resource_budget(config, processes=1).connections


def test_a_complete_configuration_makes_every_component_in_order(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        config = replace(
            check(platform_config("n6"), operator_config(tmp_path)), passed_socket=listening.fileno()
        )
        node = made(config)
    assert list(node.components) == ["uwsgi", "door", "admin", "fleet", "handover"]
    assert isinstance(node.drain_controller.restart_state, HotRestartComponent)


@pytest.mark.parametrize(
    ("section", "names"),
    [("uwsgi", ["uwsgi", "door"]), ("admin", ["door", "admin"]), ("tenants", ["door"])],
)
def test_a_section_turns_on_its_component_alone(section: str, names: list[str], tmp_path: Path) -> None:
    operator = operator_config(tmp_path)
    config = check(platform_config("n6"), {section: operator[section]})
    assert list(made(config).components) == names


def test_what_uwsgi_may_take_is_left_out_of_the_connections_of_the_nodes_own_frontend(tmp_path: Path) -> None:
    operator = operator_config(tmp_path)
    config = check(platform_config("n6"), {"uwsgi": operator["uwsgi"]})
    node = made(config)
    uwsgi = node.components["uwsgi"]
    assert isinstance(uwsgi, UwsgiComponent) and uwsgi.descriptors == 2 * uwsgi.frontend.connections.limit
    whole = resource_budget(config, processes=1).connections
    assert node.resp.connections.limit == whole - uwsgi.descriptors >= whole // 2
