"""The optional parts of a node, and what of its configuration turns each on. None is loaded before it is wanted."""

from __future__ import annotations

from collections.abc import Callable

from marlstep.config import Config

# In the order in which they are made and opened: a part may look at those before it.
REGISTRY: tuple[tuple[str, Callable[[Config], bool]], ...] = (
    ("marlstep.components.uwsgi", lambda config: config.uwsgi is not None),
    ("marlstep.components.health_endpoint", lambda config: config.mgmt is not None),
    ("marlstep.components.admin", lambda config: config.admin is not None),
    ("marlstep.components.cluster", lambda config: config.fleet is not None),
    ("marlstep.components.hot_restart", lambda config: config.passed is not None),
)
