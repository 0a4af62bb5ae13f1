"""The public formats, by name. Each is loaded when it is asked for."""

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

# How late a row may come, in microseconds, where the format needs more than `reordering.WINDOW_US`.
WINDOWS_US: Mapping[str, int] = {
    "alibaba-2018-task": 60_000_000,  # whole seconds, and neighbours by job
    "alibaba-2018-instance": 60_000_000,
    "azure-2021": 600_000_000,  # in order of the end: late by as much as an invocation lasts
}


def named(name: str) -> Format:
    """Return the format of that name; `generic` needs its columns as well. Raises KeyError where there is none."""
    module = importlib.import_module(f"marlstep.traces.formats.{MODULES[name]}")
    found: Format = module.FORMAT
    return found
