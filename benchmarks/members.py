"""Measure the cost and the quality of failure detection, with the detectors on a simulated network.

    .venv/bin/python -m benchmarks.members                       # one JSON object, some minutes
    .venv/bin/python -m benchmarks.members --nodes 10 --nodes 50

Each run measures its own baseline: the detector without Lifeguard's local health. A plan kills 5% of the nodes
and starts them again only at its very end.
"""

from __future__ import annotations

import argparse
import json
import random
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from typing import Any

from marlstep.cluster import wire
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.simulated_detectors import run_members
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.failure_detector import FailureDetector
from marlstep.membership.messages import Ack, MembershipMessage, Ping
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.net.ring import Ring
from marlstep.units import EPOCH

SECONDS_BY_NODES = {10: 300, 50: 120, 200: 60, 1_000: 20}  # simulated time, in seconds, by number of nodes
CASES = (  # share of lost datagrams, share of slow nodes, local health enabled
    (0.0, 0.0, True), (0.05, 0.0, True), (0.2, 0.0, True), (0.01, 0.1, True),
    (0.05, 0.0, False), (0.2, 0.0, False), (0.01, 0.1, False),
)  # fmt: skip


def measure_case(case: tuple[int, float, float, bool, int]) -> dict[str, Any]:
    """Run one case on the simulated network and return its results.

    Args:
        case: The number of nodes, the share of lost datagrams, the share of slow nodes, whether local health is
            enabled, and the simulated time in seconds.
    """
    nodes, loss, slow_share, local_health, seconds = case
    names = tuple(f"n{number}" for number in range(nodes))
    kills = max(1, nodes // 20)
    killed = names[-kills:]
    # The killed nodes start again at the very end, since the simulation's final check requires that all nodes have
    # heard of all others.
    faults = tuple(
        Fault(5_000 + index * 4_000 // kills, seconds * 1_000, "kill", name)
        for index, name in enumerate(killed)
    )
    started_at = time.monotonic()
    plan = Plan(nodes, names, names[:3], seconds * 1_000, (1.0,) * nodes, faults)
    cluster, _ = run_members(
        plan, None, DetectorSettings(local_health_enabled=local_health), loss, slow_share
    )
    measured = cluster.measured
    detected_us = sorted(measured.detected_us)
    detection_count = len(detected_us)
    return {
        "nodes": nodes,
        "loss": loss,
        "slow": slow_share,
        "doubts": local_health,
        "detected_ms_p50": round(detected_us[detection_count // 2] / 1000) if detection_count else None,
        "detected_ms_p99": round(detected_us[int(detection_count * 0.99)] / 1000)
        if detection_count
        else None,
        "detected_of": [detection_count, kills * (nodes - kills)],
        "false_suspicions_an_hour": round(measured.false_suspicions * 3_600 / seconds, 1),
        "false_failures_an_hour": round(measured.false_failures * 3_600 / seconds, 1),
        "datagrams_a_node_a_second": round(measured.datagrams / nodes / seconds, 2),
        "bytes_a_node_a_second": round(measured.bytes / nodes / seconds),
        "exchange_bytes_a_node_a_second": round(measured.exchange_bytes / nodes / seconds),
        "took_s": round(time.monotonic() - started_at, 1),
    }


def measure_node(members: int, seconds: int) -> dict[str, Any]:
    """Measure the processor time and the memory of one detector, without sockets.

    Its datagrams are encoded, authenticated and decoded as on a real network.

    Args:
        members: How many members the detector knows, itself included.
        seconds: How long it runs, in simulated time.
    """
    framing = wire.datagram_framing(b"k" * 32)
    records = [
        MemberRecord(
            f"n{index}", f"{index:012x}", index, 0, MemberState.ALIVE, f"10.0.0.{index % 250}:7001", "z"
        )
        for index in range(members)
    ]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    detector = FailureDetector(records[0], DetectorSettings(), random.Random(1), EPOCH)
    for record in records[1:]:
        detector.receive(EPOCH, record, Ack(0))
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    rng, now, datagram_count, elapsed_s = random.Random(2), EPOCH, 0, 0.0

    def transmit(sender: MemberRecord, message: MembershipMessage) -> tuple[MemberRecord, MembershipMessage]:
        ring = Ring(4 * wire.MAX_DATAGRAM_BYTES)
        ring.put(framing.write(wire.write_datagram("fleet", sender, message)))
        body = framing.read(ring)
        assert body is not None
        _, received_sender, received_message = wire.read_datagram(body)
        return received_sender, received_message

    while now < EPOCH + timedelta(seconds=seconds):
        now = max(now, detector.next_due())
        other = records[rng.randrange(1, members)]
        ping = framing.write(wire.write_datagram("fleet", other, Ping(1, "n0", tuple(records[1:4]))))
        started_at = time.perf_counter()
        for send in detector.tick(now):
            if isinstance(send.message, Ping):
                framing.write(wire.write_datagram("fleet", detector.local, send.message))
                target = next(record for record in records if record.node == send.message.node)
                detector.receive(now, *transmit(target, Ack(send.message.number)))
                datagram_count += 2
        # The detector is probed by another member as often as it sends a probe itself.
        ring = Ring(4 * wire.MAX_DATAGRAM_BYTES)
        ring.put(ping)
        body = framing.read(ring)
        assert body is not None
        _, sender, message = wire.read_datagram(body)
        for send in detector.receive(now, sender, message):
            framing.write(wire.write_datagram("fleet", detector.local, send.message))
        datagram_count += 2
        elapsed_s += time.perf_counter() - started_at
    return {
        "members": members,
        "us_a_datagram": round(elapsed_s / datagram_count * 1e6, 1),
        "percent_of_a_core_at_9_a_second": round(elapsed_s / datagram_count * 9 * 100, 3),
        "memory_kb": round(memory / 1024),
    }


def main() -> None:
    """Run all cases and print the report as JSON."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--nodes", type=int, choices=sorted(SECONDS_BY_NODES), action="append")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    sizes = options.nodes or [10, 50, 200, 1_000]
    cases = [
        (nodes, loss, slow_share, local_health, SECONDS_BY_NODES[nodes])
        for nodes in sizes
        for loss, slow_share, local_health in (CASES if nodes < 1_000 else CASES[:2])
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        report: dict[str, Any] = {"period_ms": 500, "rows": list(pool.map(measure_case, cases))}
    report["one_node"] = [measure_node(members, 300) for members in (12, 200, 1_000)]
    print(json.dumps(report))


if __name__ == "__main__":
    main()
