"""The supported trace formats by name. The module of a format is imported on first use."""

from __future__ import annotations

import importlib
from collections.abc import Mapping

from marlstep.traces.formats.base import Format

MODULES: Mapping[str, str] = {
    "google-2011": "google_2011",
    "google-2019": "google_2019",
    "alibaba-2018-task": "alibaba_2018_task",
    "alibaba-2018-instance": "alibaba_2018_instance",
    "alibaba-2021-calls": "alibaba_2021_calls",
    "azure-2019": "azure_2019",
    "azure-2021": "azure_2021",
    "generic": "generic",
}

# Reorder windows in microseconds, for formats that need a longer one than `reordering.WINDOW_US`.
WINDOWS_US: Mapping[str, int] = {
    "alibaba-2018-task": 60_000_000,  # times in whole seconds, rows grouped by job
    "alibaba-2018-instance": 60_000_000,
    "azure-2021": 600_000_000,  # ordered by end time, so a row is late by the duration of its invocation
}


def format_by_name(name: str) -> Format:
    """Return the format with the given name; `generic` is returned with default columns.

    Raises:
        KeyError: There is no format with this name.
    """
    module = importlib.import_module(f"marlstep.traces.formats.{MODULES[name]}")
    trace_format: Format = module.FORMAT
    return trace_format
