"""Which variables of a uwsgi request carry the fields of a request, as the operator's file says."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class UwsgiMapping:
    """The names of variables, by the field that they carry; None where no variable does.

    `class_names` maps values of the class variable to names of classes; a value that is not in it is the name itself.
    `default_class` applies where the variable names no class that there is. `memory_kb` is reserved for each queued
    request at the least.
    """

    class_variable: str
    class_names: Mapping[str, str] = field(default_factory=dict)
    default_class: str | None = None
    idempotency_key_variable: str | None = None
    retry_variable: str | None = None
    cost_variable: str | None = None
    tenant_variable: str | None = None
    memory_kb: float = 16.0
