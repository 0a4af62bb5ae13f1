"""Settings that differ in every name, count, effect and limit from those in `tests.support.node`.

Tests that pass with both show that the node depends on no particular deployment.
"""

from __future__ import annotations

import copy
from typing import Any

from marlstep.admission.events import Outcome
from marlstep.core.engine import Core, Ports
from marlstep.frontends.resp import RespConnection, RespFrontend
from marlstep.frontends.resp_wire import write_frame
from marlstep.simulator.configuration import read_settings
from marlstep.units import SECOND, instant_us
from tests.support.node import CoreDriver, FakeTransport, raw_config

ALTERNATE_SETTINGS: dict[str, Any] = {
    "callers": {"marksRetry": False},
    "caps": {"maxRetryAfterUs": 400_000, "retryAfter": True},
    "classes": [
        {"name": "ping", "semantics": "idempotent", "aimUs": 500_000, "hardLimitUs": 900_000, "worth": 0.5},
        {"name": "list", "semantics": "idempotent", "aimUs": 900_000, "hardLimitUs": 2_200_000, "worth": 1.5},
        {
            "name": "book",
            "semantics": "deduplicated",
            "aimUs": 800_000,
            "hardLimitUs": 1_900_000,
            "worth": 2.0,
        },
        {
            "name": "open",
            "semantics": "at_most_once",
            "aimUs": 700_000,
            "hardLimitUs": 1_200_000,
            "worth": 6.0,
        },
        {
            "name": "tally",
            "semantics": "deduplicated",
            "aimUs": 990_000,
            "hardLimitUs": 3_100_000,
            "worth": 0.2,
        },
    ],
    "familyInfo": {
        "below": "shared",
        "callsByClass": [False, True, True, True, False],
        "callsOut": 9.0,
        "callsOverUs": 4_000_000,
        "cpus": 3,
        "degradedWorth": [0.0, 0.4, 0.0, 0.0, 0.0],
        "halt": "abort",
        "heededUs": 700_000,
        "keepaliveMaxUs": 6_000_000,
        "keyKb": 7.5,
        "listFollows": True,
        "ownStats": ["sockets", "cpu_busy"],
        "ramKb": 7_000.0,
        "runMemFactor": 9.0,
        "say": "none",
        "tellsGone": True,
        "upstreams": 5,
    },
    "overShareWorth": 0.1,
    "realms": [
        {"name": "north", "allowancePerS": 40.0, "portion": 0.6},
        {"name": "south", "allowancePerS": 20.0, "portion": 0.4},
    ],
    "resolutionUs": 3000,
    "rules": {"answerSlackUs": 40_000, "drainGraceUs": 1_100_000, "fallMultiple": 7.0, "fallUs": 2_000_000},
}
for _row in ALTERNATE_SETTINGS["classes"]:
    _row.update(repeatWindowUs=2_000_000, lateShare=0.25)


def alternate_settings(**family_info: Any) -> dict[str, Any]:
    """Return a copy of these settings. Keyword arguments replace keys of `familyInfo`."""
    settings = copy.deepcopy(ALTERNATE_SETTINGS)
    settings["familyInfo"].update(family_info)
    return settings


def alternate_config(**other: Any) -> dict[str, Any]:
    """Return the configuration of a node with these settings. Keyword arguments replace its keys."""
    return raw_config(**{"settings": ALTERNATE_SETTINGS, "stop_ms": 1700, **other})


class RespDriver(CoreDriver):
    """A core with the alternate settings and a real RESP frontend, on a manual clock.

    `limit` is the maximum number of open connections; keyword arguments replace keys of `familyInfo`.
    """

    def __init__(self, limit: int = 40, **family_info: Any) -> None:
        super().__init__()
        settings = read_settings(alternate_settings(**family_info))
        self.core = Core(settings, 1, self.clock.timeline, Ports(self.backend, self.backend))
        self.frontend = RespFrontend(self.core, self.clock.timeline, self.backend, limit, 15 * SECOND)
        self.core.add_frontend(self.frontend)
        self.core.start()
        self.clock.settle()

    def connect(self) -> FakeTransport:
        """Open a connection to the frontend."""
        return FakeTransport(RespConnection(self.frontend))

    def frame(self, tag: int, request_class: str, body: bytes = b"body", id: int = 0, **fields: Any) -> bytes:
        """Return the frame of a request that is sent now.

        Its id is its tag unless `id` is given. `fields` are further request fields by their names on the wire.
        """
        table = {"id": f"{id or tag:016x}", "at": instant_us(self.clock.now()) // 1000, "kb": 1, **fields}
        text = ",".join(f"{name}={value}" for name, value in table.items())
        return write_frame(b"EXEC", b"%d" % tag, request_class.encode(), text.encode(), body)

    def send_request(
        self,
        wire: FakeTransport,
        tag: int,
        request_class: str,
        body: bytes = b"body",
        id: int = 0,
        **fields: Any,
    ) -> None:
        """Deliver a request on a connection. Its id is its tag unless `id` is given."""
        self.feed(wire, self.frame(tag, request_class, body, id, **fields))

    def feed(self, wire: FakeTransport, data: bytes) -> None:
        """Deliver bytes on a connection and run all callbacks that are scheduled as a result."""
        wire.feed(data)
        self.clock.settle()

    def end_run(self, id: int, result: bytes = b"result", outcome: Outcome = Outcome.OK) -> None:
        """Report the end of a run to the core."""
        self.core.run_ended(f"{id:016x}", outcome, SECOND, result)
        self.clock.settle()

    def start_count(self, id: int) -> int:
        """Return how often the backend was told to start the request."""
        return self.backend.commands.count(("start", f"{id:016x}"))


def response_frame(tag: int, word: bytes, body: bytes = b"", fields: bytes = b"") -> bytes:
    """Return the frame of a response. `word` is its status word, `fields` its encoded fields."""
    return write_frame(b"%d" % tag, word, fields, body)
