"""The record of a soak: each request, its responses, and what excuses a missing one. No I/O.

Times are microseconds of the steady clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any


class Excuse(enum.Enum):
    """Why a request may have no response."""

    NOT_WRITTEN = "not written whole"
    CLIENT_LEFT = "the client ended its connection"
    KILLED_EARLY = "its process was killed before its time"
    CROSSED_CLOSING = "it crossed the announced close of its connection"
    NOT_ACCEPTED = "no process accepted its connection"


@dataclass(slots=True, frozen=True)
class ReceivedResponse:
    """One response to a request."""

    at_us: int
    status: str
    body: bytes


@dataclass(slots=True)
class RequestRecord:
    """One request.

    Attributes:
        number: Identifies the request.
        work: Identifies the work; repeats of a request have its number.
        request_class: The request class.
        deadline_us: Time allowed from the writing of the last byte, in microseconds.
        frontend: The protocol, `resp` or `uwsgi`.
        port: The client's port.
        written_us: When the last byte was written; 0 if it was not.
        responses: All responses.
        connection_end: How its connection ended before a response; empty while it stands.
        ended_us: When that was.
        excuse: Why it may have no response; None if it is owed one.
    """

    number: int
    work: int
    request_class: str
    deadline_us: int
    frontend: str
    port: int
    written_us: int = 0
    responses: list[ReceivedResponse] = field(default_factory=list)
    connection_end: str = ""
    ended_us: int = 0
    excuse: Excuse | None = Excuse.NOT_WRITTEN

    def to_json(self) -> dict[str, Any]:
        """Return the request's history as JSON."""
        return {
            "number": self.number,
            "work": self.work,
            "class": self.request_class,
            "frontend": self.frontend,
            "port": self.port,
            "written_us": self.written_us,
            "responses": [
                [item.at_us, item.status, item.body[:64].decode("latin-1")] for item in self.responses
            ],
            "connection_end": self.connection_end,
            "ended_us": self.ended_us,
        }


@dataclass(slots=True)
class ProcessRecord:
    """One process of the node.

    Attributes:
        number: Its number in the soak, from 0.
        pid: Its process id.
        incarnation: The incarnation of the node that it belongs to, from 0. One ends when no process of the node runs;
            the next one knows nothing of it.
        killed_early: Whether it was killed before the platform's earliest time after SIGTERM.
        killed_at_stop: Whether it still ran at that time, and was killed then.
        exit_code: Its exit code, as of a subprocess; None while it runs.
        log_faults: Lines of its log that show an unhandled error.
    """

    number: int
    pid: int
    incarnation: int = 0
    killed_early: bool = False
    killed_at_stop: bool = False
    exit_code: int | None = None
    log_faults: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class ResourceSample:
    """Memory and descriptors of all processes of the node together."""

    at_us: int
    processes: int
    memory_kb: int
    descriptors: int


@dataclass(slots=True)
class History:
    """All that was recorded in a soak."""

    requests: list[RequestRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    samples: list[ResourceSample] = field(default_factory=list)
    events: list[tuple[int, str]] = field(default_factory=list)  # time and what was done
    # Each report to the name service: its time, its word, and whether the node wanted requests then.
    reports: list[tuple[int, str, bool]] = field(default_factory=list)
    stalls: list[tuple[int, int]] = field(default_factory=list)  # of the soak's own event loop: end, length
    idle_descriptors: list[int] = field(default_factory=list)  # of one process without clients: first, last
    upgrades: int = 0
    kills: int = 0

    def stalled_us(self, from_us: int, until_us: int) -> int:
        """Return how long the soak itself did not run in a period: what it saw is that much later than it was."""
        return sum(length for end, length in self.stalls if from_us <= end <= until_us + length)
