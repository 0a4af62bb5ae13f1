"""Logging of commands with structlog. Lines that the node writes with `logging` use the same renderer."""

from __future__ import annotations

import logging
import sys

import structlog

JSON_FORMAT = "json"
# The first keys of a line in text format, in this order.
FIRST_KEYS = ("timestamp", "level", "logger", "event")


class CommandLogHandler(logging.StreamHandler):  # type: ignore[type-arg]
    """Writes to standard error; standard output is reserved for the output of commands."""

    def __init__(self, formatter: logging.Formatter) -> None:
        """Initialize the handler with the current `sys.stderr` and a formatter."""
        super().__init__(sys.stderr)
        self.setFormatter(formatter)


def configure_logging(log_format: str, level: int) -> None:
    """Install the handler of the root logger, and remove the one that an earlier call in this process installed.

    Args:
        log_format: `json` for one object per line, `text` for `key=value` pairs.
        level: the lowest level that is written, as a level of `logging`.
    """
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=False,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[*shared, structlog.stdlib.PositionalArgumentsFormatter()],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, _renderer(log_format)],
    )
    _replace_handler(CommandLogHandler(formatter), level)


def _renderer(log_format: str) -> structlog.typing.Processor:
    if log_format == JSON_FORMAT:
        return structlog.processors.JSONRenderer()
    return structlog.processors.KeyValueRenderer(key_order=FIRST_KEYS, sort_keys=False)


def _replace_handler(handler: CommandLogHandler, level: int) -> None:
    root = logging.getLogger()
    for existing in list(root.handlers):
        if isinstance(existing, CommandLogHandler):
            root.removeHandler(existing)
    root.addHandler(handler)
    root.setLevel(level)
