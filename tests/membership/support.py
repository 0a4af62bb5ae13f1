"""Helpers that several test modules of this package share."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any

from marlstep.leases.table import LeaseTable
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.failure_detector import FailureDetector
from marlstep.membership.messages import Ack
from marlstep.membership.quota_table import QuotaTable
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.units import EPOCH

NOW = EPOCH + timedelta(days=9)

NODES = ("n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12")


def record(
    node: str,
    state: MemberState = MemberState.ALIVE,
    process_id: str = "b1",
    generation: int = 5,
    incarnation: int = 0,
) -> MemberRecord:
    return MemberRecord(node, process_id, generation, incarnation, state, node, "z1")


def detector(node: str = "a", **settings: Any) -> FailureDetector:
    return FailureDetector(record(node), DetectorSettings(**settings), random.Random(1), NOW)


def with_members(observer: FailureDetector, *nodes: str) -> FailureDetector:
    for node in nodes:
        observer.receive(NOW, record(node), Ack(0))
    return observer


def leases_and_quotas(*nodes: str) -> tuple[LeaseTable, QuotaTable]:
    leases = LeaseTable()
    for node in nodes:
        leases.apply({"do": "grant", "name": f"rules/{node}", "holder": node, "most": 0})
    quotas = QuotaTable(leases)
    quotas.apply({"do": "tenants", "names": ["t"]})
    return leases, quotas
