"""Registry of the optional components: the configuration that enables each, and its factory.

The modules of a component are loaded only when it is created, so that a node without components fits into 32 MB.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from marlstep.components.base import Component
from marlstep.config import Config

if TYPE_CHECKING:
    from marlstep.components.host import ComponentHost


class Registration(NamedTuple):
    """One component: whether a configuration enables it, and its factory."""

    is_enabled: Callable[[Config], bool]
    # The arguments are the host and the maximum number of connections of the node.
    make: Callable[[ComponentHost, int], Component]


def _make_uwsgi(host: ComponentHost, max_connections: int) -> Component:
    from marlstep.components.uwsgi import make

    return make(host, max_connections)


def _make_health_endpoint(host: ComponentHost, _max_connections: int) -> Component:
    from marlstep.components.health_endpoint import make

    return make(host)


def _make_admin(host: ComponentHost, _max_connections: int) -> Component:
    from marlstep.components.admin import make

    return make(host)


def _make_cluster(host: ComponentHost, _max_connections: int) -> Component:
    from marlstep.components.cluster import make

    return make(host)


def _make_hot_restart(host: ComponentHost, _max_connections: int) -> Component:
    from marlstep.components.hot_restart import make

    return make(host)


# In the order in which components are created and opened: a component may use the preceding ones.
REGISTRY: tuple[Registration, ...] = (
    Registration(lambda config: config.uwsgi is not None, _make_uwsgi),
    Registration(lambda config: config.health_listen is not None, _make_health_endpoint),
    Registration(lambda config: config.admin is not None, _make_admin),
    Registration(lambda config: config.cluster is not None, _make_cluster),
    Registration(lambda config: config.passed_socket is not None, _make_hot_restart),
)
