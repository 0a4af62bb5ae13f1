"""Test harnesses of the frontends: a manually advanced clock, and connections without sockets."""

from __future__ import annotations

from typing import Any

from marlstep.admission.events import Outcome
from marlstep.frontends.resp import RespConnection, RespFrontend
from marlstep.frontends.resp_wire import write_frame
from marlstep.frontends.uwsgi import UwsgiConnection, UwsgiFrontend
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.units import SECOND, instant_us
from tests.support.node import START, CoreDriver, FakeTransport

START_MS = instant_us(START) // 1000
FIELDS = b"at=%d,from=4,kb=24.5,rank=0.6250,cost=12.50" % START_MS


def exec_frame(
    tag: int, request_class: bytes = b"temp-history", body: bytes = b"body", fields: bytes = FIELDS
) -> bytes:
    return write_frame(b"EXEC", b"%d" % tag, request_class, b"id=%016x," % tag + fields, body)


class RespHarness:
    """A RESP frontend and connections of its clients."""

    def __init__(self, cores: int = 2, limit: int = 8) -> None:
        self.node = CoreDriver(cores)
        clock = self.node.clock
        self.frontend = RespFrontend(self.node.core, clock.timeline, self.node.backend, limit, 15 * SECOND)
        self.node.core.add_frontend(self.frontend)
        self.node.core._signals.advertised_value = None

    def connect(self) -> FakeTransport:
        return FakeTransport(RespConnection(self.frontend))

    def feed(self, connection: FakeTransport, data: bytes) -> None:
        connection.feed(data)
        self.node.clock.settle()

    def end_run(self, tag: int, result: bytes = b"result") -> None:
        self.node.core.run_ended(f"{tag:016x}", Outcome.OK, SECOND, result)
        self.node.clock.settle()


def instant_ms(harness: RespHarness) -> int:
    return instant_us(harness.node.clock.now()) // 1000


MAPPING = UwsgiMapping(
    class_variable="X_CLASS",
    class_names={"setpoint": "setpoint-cmd"},
    idempotency_key_variable="X_ID",
    retry_variable="X_RETRY",
    cost_variable="X_COST",
    tenant_variable="X_TENANT",
)
READ_VARIABLES = {"REQUEST_METHOD": "GET", "X_CLASS": "temp-history"}
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class UwsgiHarness:
    """A uwsgi frontend and connections of its clients. Keyword arguments replace keys of the settings."""

    def __init__(self, cores: int = 2, limit: int = 8, **other: Any) -> None:
        self.node = CoreDriver(cores, **other)
        self.frontend = UwsgiFrontend(
            self.node.core, self.node.clock.timeline, self.node.backend, limit, 2 * SECOND, MAPPING, 100
        )
        self.node.core.add_frontend(self.frontend)
        self.number = 0

    def connect(self) -> FakeTransport:
        return FakeTransport(UwsgiConnection(self.frontend))

    def send(self, variables: dict[str, str], body: bytes = b"", step: int = 1 << 16) -> FakeTransport:
        connection = self.connect()
        connection.feed(write_packet(variables, body), step)
        self.node.clock.settle()
        return connection

    def end_run(self, outcome: Outcome = Outcome.OK, result: bytes = RESPONSE, number: int = 1) -> None:
        self.node.core.run_ended(f"uwsgi-{number}", outcome, SECOND, result)
        self.node.clock.settle()
