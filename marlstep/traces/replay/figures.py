"""The service figure as the brief defines it: the worth answered in the wanted time over the worth asked for.

Worth counts for each unit of work, so a request weighs its class's worth times its work. An answer that left a
call out earns the class's `skip_worth` of it, one after the aim nothing. Also kept: the figure of each class and
tenant and of the worst ten seconds, and the time to the answer in histograms.
"""

from __future__ import annotations

import base64
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from marlstep.admission.settings import ClassSettings
from marlstep.traces.mapping import PlannedRequest

MOST_US = 60_000_000
WORST_SECONDS = 10
MOST_TENANTS = 1_000
WHOLE, WORST, CLASS = 0.65, 0.15, 0.20  # the brief's weights
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class Share:
    asked: float = 0.0
    earned: float = 0.0

    @property
    def service(self) -> float:
        return self.earned / self.asked if self.asked else 1.0


def histogram() -> HdrHistogram:
    """Microseconds, to three digits."""
    return HdrHistogram(1, MOST_US, 3)


@dataclass(slots=True)
class Figures:
    whole: Share = field(default_factory=Share)
    by_class: dict[str, Share] = field(default_factory=dict)
    by_tenant: dict[str, Share] = field(default_factory=dict)
    by_second: list[Share] = field(default_factory=list)
    times: dict[str, HdrHistogram] = field(default_factory=dict)  # of answers, by class
    lateness: HdrHistogram = field(default_factory=histogram)  # of sending
    poor: int = 0
    after_aim: int = 0

    def _shares(self, planned: PlannedRequest) -> tuple[Share, ...]:
        tenant = planned.tenant
        if tenant not in self.by_tenant and len(self.by_tenant) >= MOST_TENANTS:
            tenant = "others"
        second = planned.at_us // 1_000_000
        while len(self.by_second) <= second:
            self.by_second.append(Share())
        return (
            self.whole,
            self.by_class.setdefault(planned.request_class, Share()),
            self.by_tenant.setdefault(tenant, Share()),
            self.by_second[second],
        )

    def asked(self, planned: PlannedRequest, worth: float) -> None:
        for share in self._shares(planned):
            share.asked += worth * planned.work_us

    def done(self, planned: PlannedRequest, kind: ClassSettings, took_us: int, poor: bool) -> None:
        self.times.setdefault(planned.request_class, histogram()).record_value(min(MOST_US, max(1, took_us)))
        self.poor += poor
        if took_us > kind.latency_objective_us:
            self.after_aim += 1
            return
        for share in self._shares(planned):
            share.earned += (
                kind.priority_weight * planned.work_us * (kind.skipped_call_factor if poor else 1.0)
            )

    def sent_late(self, us: int) -> None:
        self.lateness.record_value(min(MOST_US, max(1, us)))

    def worst(self) -> float:
        """The service of the worst ten seconds, or of the whole where it is shorter."""
        seconds = self.by_second
        if len(seconds) <= WORST_SECONDS:
            return self.whole.service
        worst = 1.0
        for at in range(len(seconds) - WORST_SECONDS + 1):
            part = seconds[at : at + WORST_SECONDS]
            asked = sum(one.asked for one in part)
            if asked:
                worst = min(worst, sum(one.earned for one in part) / asked)
        return worst

    def goal(self) -> float:
        """The brief's mixture of the whole, the worst ten seconds and the worst class."""
        worst_class = min((share.service for share in self.by_class.values()), default=1.0)
        return WHOLE * self.whole.service + WORST * self.worst() + CLASS * worst_class

    def report(self) -> dict[str, Any]:
        """Plain values, not rounded."""
        return {
            "service": self.whole.service,
            "goal": self.goal(),
            "worst_10s": self.worst(),
            "by_class": services(self.by_class),
            "by_tenant": services(self.by_tenant),
            "by_second": [[one.asked, one.earned] for one in self.by_second],
            "poor": self.poor,
            "after_aim": self.after_aim,
            "times_ms": {kind: percentiles(self.times[kind]) for kind in sorted(self.times)},
            "histograms": {kind: encoded(self.times[kind]) for kind in sorted(self.times)},
            "late_sends_ms": percentiles(self.lateness),
        }


def services(shares: Mapping[str, Share]) -> dict[str, float]:
    return {name: shares[name].service for name in sorted(shares)}


def percentiles(times: HdrHistogram) -> dict[str, float]:
    found = {f"p{point:g}": times.get_value_at_percentile(point) / 1000 for point in PERCENTILES}
    return {**found, "max": times.get_max_value() / 1000, "count": times.get_total_count()}


def encoded(times: HdrHistogram) -> str:
    """The histogram in its own format (HdrHistogram V2, base64)."""
    data = times.encode()
    return data.decode("ascii") if isinstance(data, bytes) else base64.b64encode(bytes(data)).decode("ascii")
