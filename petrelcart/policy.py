"""The old place of the admission controller; it stands in `marlstep.admission` now."""

from __future__ import annotations

from marlstep.admission.controller import Controller

__all__ = ["Controller"]
