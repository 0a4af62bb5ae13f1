"""The idempotency windows that the settings have stated, now and before, by class. No clock and no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.admission.settings import ClassSettings
from marlstep.units import ZERO, span


@dataclass(slots=True, frozen=True)
class PastWindow:
    """A window that was in force before.

    Attributes:
        window: its length.
        in_force_until: when settings with another window came, or settings without the class.
        relevant_until: when no request can arrive any more that repeats work which this window covers.
    """

    window: timedelta
    in_force_until: datetime
    relevant_until: datetime


def relevance_after(request_class: ClassSettings) -> timedelta:
    """Return how long a window matters after it was in force.

    Work may begin a deadline after its arrival, its window follows, and a repeat may lie unread for a deadline more.
    """
    return span(request_class.idempotency_window_us + 2 * request_class.deadline_us)


class IdempotencyWindows:
    """Windows of all classes, those of classes that the settings no longer have included.

    Clients read the settings in force when they repeat a request. So work is covered by the longest window that was in
    force at any time since it ran, whatever has happened to its class in between.
    """

    def __init__(self, classes: Iterable[ClassSettings] = ()) -> None:
        """Initialize with the classes of the first settings."""
        self._in_force = {each.name: each for each in classes}
        self._past: dict[str, list[PastWindow]] = {}
        self._longest = {name: span(each.idempotency_window_us) for name, each in self._in_force.items()}

    def change(self, classes: Iterable[ClassSettings], now: datetime) -> None:
        """Put the windows of new settings in force, and remember those of the settings before."""
        before, self._in_force = self._in_force, {each.name: each for each in classes}
        self._past = {
            name: relevant
            for name, windows in self._past.items()
            if (relevant := [each for each in windows if each.relevant_until > now])
        }
        for name, request_class in before.items():
            past = PastWindow(
                span(request_class.idempotency_window_us), now, now + relevance_after(request_class)
            )
            self._past.setdefault(name, []).append(past)
        for name, request_class in self._in_force.items():
            window = span(request_class.idempotency_window_us)
            self._longest[name] = max(window, self._longest.get(name, ZERO))

    def longest_since(self, request_class: str, since: datetime) -> timedelta:
        """Return the longest window of a class that was in force at any time since then; zero if none was."""
        windows = [each.window for each in self._past.get(request_class, ()) if each.in_force_until >= since]
        in_force = self._in_force.get(request_class)
        if in_force is not None:
            windows.append(span(in_force.idempotency_window_us))
        return max(windows, default=ZERO)

    def longest(self, request_class: str) -> timedelta:
        """Return the longest window that any settings have stated for a class; zero for an unknown class."""
        return self._longest.get(request_class, ZERO)
