"""The configured mapping from uwsgi variables to the fields of a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class UwsgiMapping:
    """The names of the variables that carry each field; None for a field without a variable.

    `class_names` maps values of the class variable to class names; a value that is not in it is the class name itself.
    `default_class` is used if the variable does not name a configured class. `memory_kb` is the minimum memory, in kB,
    that is reserved for each queued request.
    """

    class_variable: str
    class_names: Mapping[str, str] = field(default_factory=dict)
    default_class: str | None = None
    idempotency_key_variable: str | None = None
    retry_variable: str | None = None
    cost_variable: str | None = None
    tenant_variable: str | None = None
    memory_kb: float = 16.0

    @property
    def variable_names(self) -> set[str]:
        """The names of the variables that carry fields of a request."""
        names = (
            self.class_variable,
            self.idempotency_key_variable,
            self.retry_variable,
            self.cost_variable,
            self.tenant_variable,
        )
        return {name for name in names if name is not None}
