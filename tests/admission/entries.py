"""Builds request entries for tests of single rules."""

from __future__ import annotations

import dataclasses
from typing import Any

from marlstep.admission.entry import Entry, State
from marlstep.admission.events import Arrival
from marlstep.admission.settings import ClassSettings
from tests.support.helpers import LOW, START


def queued_entry(request_class: ClassSettings = LOW, **changes: Any) -> Entry:
    """Return a queued request that arrived at `START`, by default with an objective of 2 s and a deadline of 4 s."""
    arrival = Arrival("r", request_class.name, memory_kb=10.0, caller=1, unread_us=0)
    entry = Entry.from_arrival(arrival, request_class, request_class.priority_weight, START)
    return dataclasses.replace(entry, **{"state": State.QUEUED, **changes})
