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
from tests.support.node import ManualClock, raw_config


def make_node(config: Config) -> Node:
    """Create a node without opening it, within an event loop, which its cluster needs."""

    async def create() -> Node:
        return Node(config, ManualClock().timeline)

    return asyncio.run(create())


def test_a_plain_node_has_no_component_and_its_frontend_has_all_connections() -> None:
    config = check(raw_config())
    node = make_node(config)
    assert node.components == {} and node.drain_controller.restart_state is None
    assert node.resp.connections.limit == resource_budget(config, processes=1).connections


def test_a_complete_configuration_creates_every_component_in_order(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        config = replace(
            check(platform_config("n6"), operator_config(tmp_path)), passed_socket=listening.fileno()
        )
        node = make_node(config)
    assert list(node.components) == ["uwsgi", "door", "admin", "fleet", "handover"]
    assert isinstance(node.drain_controller.restart_state, HotRestartComponent)


@pytest.mark.parametrize(
    ("section", "names"),
    [("uwsgi", ["uwsgi", "door"]), ("admin", ["door", "admin"]), ("tenants", ["door"])],
)
def test_a_section_enables_only_its_component(section: str, names: list[str], tmp_path: Path) -> None:
    operator = operator_config(tmp_path)
    config = check(platform_config("n6"), {section: operator[section]})
    assert list(make_node(config).components) == names


def test_descriptors_reserved_for_uwsgi_reduce_the_connections_of_the_resp_frontend(tmp_path: Path) -> None:
    operator = operator_config(tmp_path)
    config = check(platform_config("n6"), {"uwsgi": operator["uwsgi"]})
    node = make_node(config)
    uwsgi = node.components["uwsgi"]
    assert isinstance(uwsgi, UwsgiComponent) and uwsgi.descriptors == 2 * uwsgi.frontend.connections.limit
    whole = resource_budget(config, processes=1).connections
    assert node.resp.connections.limit == whole - uwsgi.descriptors >= whole // 2
