"""The shape that every optional part of a node has. What there is, and what turns it on, is the table in
`marlstep/components`: a new part is one line there, and none in the wiring.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    from marlstep.config import Config
    from marlstep.core.model import Front


class StartPhase(enum.Enum):
    """When a part takes its address."""

    BEFORE_SERVING = "first"  # before the node serves, to say that it does not yet
    WITH_CLIENTS = "beside"  # whatever this process of the node is on
    WITH_FRONTENDS = "serving"  # with the node's own front


class Component:
    """What a node may have beside its core. A subclass gives what it has need of."""

    name: ClassVar[str]
    start_phase: ClassVar[StartPhase]
    descriptors = 0  # that it may take from the node's room for connections
    front: Front | None = None  # that the core has to know of

    async def open(self, config: Config, reuse_address: bool) -> None:
        """Take its address; `shared`: another process of this node may have it too. Raises OSError."""

    def reconfigure(self, config: Config) -> None:
        """New settings were taken over."""

    def drain(self) -> None:
        """The notice to leave, or a successor serves: finish what is here."""

    @property
    def busy(self) -> bool:
        """It still has something to finish before this process ends."""
        return False

    def stop(self) -> None:
        """The node ends: give back all that can be given back at once."""

    async def close(self) -> None:
        """Wait for what takes longer."""

    def status(self) -> dict[str, Any]:
        """What operators are shown, as JSON."""
        return {}

    def read_resource(self, path: str) -> dict[str, Any] | None:
        """What operators read by `GET /v1/NAME` of the administration API; None where it is not this part's."""
        return None

    def execute_order(self, path: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        """What operators ask for by `POST /v1/NAME`, likewise. Raises ValueError where it makes no sense."""
        return None

    def metrics(self) -> dict[str, float]:
        """What is counted or measured now, by the name that metrics have for it."""
        return {}
