"""The cluster node as a component."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marlstep.cluster.node import ClusterNode
from marlstep.components.uwsgi import UwsgiComponent

if TYPE_CHECKING:
    from marlstep.components.host import ClusterHost


def make(host: ClusterHost) -> ClusterNode:
    """Create the component for a node whose configuration enables it."""
    config = host.config
    assert config.cluster is not None
    component = host.components.get("uwsgi")
    uwsgi = component if isinstance(component, UwsgiComponent) else None
    documents = None
    if config.cluster.replicated_config is not None:
        # Loaded only if documents are configured.
        from marlstep.components.config_documents import NodeConfigDocuments

        documents = NodeConfigDocuments(host.config_reloader, host.core)
    cluster = ClusterNode(
        config.cluster,
        host.core,
        host.timeline,
        upstream=None if uwsgi is None else uwsgi.upstream,
        pool_of=(lambda _: "")
        if uwsgi is None
        else (lambda request_class: uwsgi.frontend.pool_of(request_class)),
        class_variable="" if uwsgi is None else uwsgi.frontend.mapping.class_variable,
        seed=config.seed,
        documents=documents,
    )
    if cluster.config_driver is not None:
        host.core.accepts_work = cluster.config_driver.accepts_work
    return cluster
