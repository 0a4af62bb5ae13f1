"""The node's place in a fleet, as a part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marlstep.cluster.node import ClusterNode
from marlstep.components.uwsgi import UwsgiComponent

if TYPE_CHECKING:
    from marlstep.node import Node


def make(node: Node, room: int) -> ClusterNode:
    told = node.config
    assert told.fleet is not None
    uwsgi = node.components.get("uwsgi")
    servers = uwsgi if isinstance(uwsgi, UwsgiComponent) else None
    documents = None
    if told.fleet.replicated_config is not None:
        from marlstep.components.config_documents import NodeConfigDocuments  # only where documents are named

        documents = NodeConfigDocuments(node)
    fleet = ClusterNode(
        told.fleet,
        node.core,
        node.timeline,
        upstream=None if servers is None else servers.upstream,
        pool_of=(lambda kind: "") if servers is None else (lambda kind: servers.front.pool_of(kind)),
        class_variable="" if servers is None else servers.front.mapped.kind,
        seed=told.seed,
        documents=documents,
    )
    if fleet.config_driver is not None:
        node.core.may_take = fleet.config_driver.accepts_work
    return fleet
