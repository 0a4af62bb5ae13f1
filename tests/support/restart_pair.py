"""Two in-memory processes of a node with real cores; tests deliver their messages and advance the clock."""

from __future__ import annotations

from collections import Counter
from typing import Any

from marlstep.hot_restart import messages
from marlstep.hot_restart.host_adapter import HostAdapter
from marlstep.hot_restart.restart import HotRestart
from marlstep.hot_restart.timeouts import LostProcessTimeouts
from marlstep.net.ring import Ring
from marlstep.units import SECOND
from tests.support.node import SETTINGS, CoreDriver, ManualClock

TERMINATION_TIMEOUT, RETRY_WINDOW = 7 * SECOND, 11 * SECOND
TIMEOUTS = LostProcessTimeouts(termination=TERMINATION_TIMEOUT, retry_window=RETRY_WINDOW)
CLASSES = [dict(row) for row in SETTINGS["classes"]]
CLASSES[1].update(semantics="deduplicated")
EFFECTS = {
    "schedule-save": "keyed",
    "setpoint-cmd": "unsafe",
}  # of the request classes whose requests have keys
TICK_MS = 20
ALL_BYTES = 1 << 20


class MessagePipe:
    """One direction of the connection between two processes, with the bytes sent and not yet delivered."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.ring = Ring(2 * messages.MAX_MESSAGE_BYTES)
        self.closed = False

    def send_message(self, message: messages.Message) -> None:
        if not self.closed:
            self.data += messages.write(message)

    def require_prompt_reads(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True

    def take(self, max_bytes: int) -> None:
        """Move at most `max_bytes` to the receiver's ring buffer."""
        delivered, self.data = self.data[:max_bytes], self.data[max_bytes:]
        self.ring.put(bytes(delivered))


class SimulatedProcess:
    """A core with its hot restart logic. It implements `NodeCallbacks`."""

    def __init__(self, clock: ManualClock, generation: int) -> None:
        self.driver = CoreDriver(cores=1, clock=clock, classes=CLASSES)
        self.accepts_connections = self.saw_successor_serve = self.saw_successor_lost = (
            self.saw_successor_draining
        ) = False
        self.connections_in_use = 0.0  # share of the node's connections
        self.applied_limits: list[float] = []
        adapter = HostAdapter(self.driver.core, clock.timeline, self)
        self.hot_restart = HotRestart(adapter, generation, generation, TIMEOUTS)
        adapter.watch(self.hot_restart)
        self.is_killed = False
        self.keyed_requests = dict[str, tuple[str, str]]()  # request id to request class and key

    def accept_connections(self) -> None:
        self.accepts_connections = True

    def successor_lost(self) -> None:
        self.saw_successor_lost = True

    def successor_serves(self) -> None:
        self.saw_successor_serve = True

    def successor_draining(self) -> None:
        self.saw_successor_draining = True

    def limit_capacity(self, share: float) -> None:
        self.applied_limits.append(share)
        self.driver.core.set_capacity_share(share, 1000)

    def connection_share(self) -> float:
        return self.connections_in_use

    def serving_state_changed(self) -> None:
        pass


class ProcessPair:
    """A predecessor that serves and a successor that starts, connected by two message pipes."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.predecessor = SimulatedProcess(self.clock, 1)
        self.predecessor.hot_restart.backend_ready(self.clock.now())
        self.successor = SimulatedProcess(self.clock, 2)
        self.to_predecessor, self.to_successor = MessagePipe(), MessagePipe()
        self.is_cut = False
        self.last_number = 0

    def connect(self, backend_ready: bool = True) -> None:
        self.successor.hot_restart.predecessor_connected(self.to_predecessor, self.clock.now())
        if backend_ready:
            self.successor.hot_restart.backend_ready(self.clock.now())

    def connect_replacement(self) -> None:
        """Connect a new successor in place of one that was killed."""
        self.successor = SimulatedProcess(self.clock, 3)
        self.to_predecessor, self.to_successor = MessagePipe(), MessagePipe()
        self.is_cut = False
        self.connect()

    def deliver_to_predecessor(self, max_bytes: int = ALL_BYTES) -> None:
        """Deliver at most `max_bytes` sent by the successor; a killed predecessor handles no message."""
        now, receiver = self.clock.now(), self.predecessor.hot_restart
        self.to_predecessor.take(max_bytes)
        while not self.is_cut and (message := messages.read(self.to_predecessor.ring)) is not None:
            if self.predecessor.is_killed:
                continue
            if isinstance(message, messages.Hello):
                receiver.successor_connected(self.to_successor, message, now)
            else:
                receiver.handle_successor_message(message, now)
        self.clock.settle()

    def deliver_to_successor(self, max_bytes: int = ALL_BYTES) -> None:
        """Deliver at most `max_bytes` sent by the predecessor; a killed successor handles no message."""
        now, receiver = self.clock.now(), self.successor.hot_restart
        self.to_successor.take(max_bytes)
        while not self.is_cut and (message := messages.read(self.to_successor.ring)) is not None:
            if not self.successor.is_killed:
                receiver.handle_predecessor_message(message, now)
        self.clock.settle()

    def exchange(self) -> None:
        """Tick both processes and deliver the messages that they send."""
        for process in self.living:
            process.hot_restart.tick(self.clock.now())
        for _ in range(4):
            self.deliver_to_predecessor()
            self.deliver_to_successor()
        self.clock.advance(0)

    def run_for(self, ms: int) -> None:
        for _ in range(ms // TICK_MS):
            self.exchange()
            self.clock.advance(TICK_MS)

    @property
    def living(self) -> list[SimulatedProcess]:
        return [process for process in (self.predecessor, self.successor) if not process.is_killed]

    def kill(self, process: SimulatedProcess) -> None:
        """Kill a process. The other one still reads what it had sent, and then sees the connection close."""
        process.is_killed = True
        self.cut_connection()

    def cut_connection(self) -> None:
        """Deliver the bytes in flight, then close the connection on both sides."""
        self.deliver_to_predecessor()
        self.deliver_to_successor()
        self.is_cut = True
        for pipe in (self.to_predecessor, self.to_successor):
            pipe.close()
        if not self.predecessor.is_killed:
            self.predecessor.hot_restart.successor_lost(self.clock.now())
        if not self.successor.is_killed:
            self.successor.hot_restart.predecessor_lost(self.clock.now())
        self.clock.settle()

    def submit(
        self, process: SimulatedProcess, request_class: str, idempotency_key: str | None, **other: Any
    ) -> int:
        self.last_number += 1
        if idempotency_key:
            process.keyed_requests[f"r{self.last_number}"] = (request_class, idempotency_key)
        process.driver.submit(self.last_number, request_class, idempotency_key=idempotency_key, **other)
        return self.last_number

    def run_counts(self) -> Counter[tuple[str, str]]:
        """Count the runs of each (request class, idempotency key) in both processes together."""
        counts = Counter[tuple[str, str]]()
        for process in (self.predecessor, self.successor):
            for command, request_id in process.driver.backend.commands:
                if command == "start" and request_id in process.keyed_requests:
                    counts[process.keyed_requests[request_id]] += 1
        return counts


def serving_pair() -> ProcessPair:
    """Return a pair in which both processes accept connections."""
    pair = ProcessPair()
    pair.connect()
    pair.run_for(100)
    assert pair.successor.accepts_connections and pair.predecessor.hot_restart.has_serving_successor
    return pair
