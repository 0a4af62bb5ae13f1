"""What an operator's file says of the variables of uwsgi requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class UwsgiMapping:
    """Which variables say what, as the operator's file has it."""

    kind: str
    classes: Mapping[str, str] = field(default_factory=dict)  # values of that variable to names of classes
    default_class: str | None = None
    id: str | None = None
    retry: str | None = None
    cost: str | None = None
    tenant: str | None = None
    kb: float = 16.0  # of memory that is booked for a held request
