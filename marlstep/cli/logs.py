"""Logs of commands, on structlog. The node's own lines, which use logging, go through the same renderer."""

from __future__ import annotations

import logging
import sys

import structlog


def set_up(format: str, level: int) -> None:
    """One handler on standard error: standard output is for what a command prints."""
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if format == "json"
        else structlog.processors.KeyValueRenderer(
            key_order=["timestamp", "level", "logger", "event"], sort_keys=False
        )
    )
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[*shared, structlog.stdlib.PositionalArgumentsFormatter()],
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    root = logging.getLogger()
    for old in list(root.handlers):
        if getattr(old, "marlstep", False):
            root.removeHandler(old)
    handler.marlstep = True  # type: ignore[attr-defined]
    root.addHandler(handler)
    root.setLevel(level)
