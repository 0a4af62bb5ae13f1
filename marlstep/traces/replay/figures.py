"""The service figure: the weighted work that was answered in time, over the weighted work that was offered.

Each unit of work weighs its class's priority weight, so a request weighs this weight times its work. A response that
left a call out earns the class's factor for skipped calls of it; one after the latency objective earns nothing. Also
kept: the figure of each class and tenant and of the worst ten seconds, and the time to the response in histograms.
"""

from __future__ import annotations

import base64
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from marlstep.admission.settings import ClassSettings
from marlstep.traces.mapping import PlannedRequest

MAX_TIME_US = 60_000_000  # longer ones are recorded as this
SIGNIFICANT_DIGITS = 3
WORST_SECONDS = 10
MAX_TENANTS = 1_000  # that are kept apart
OTHER_TENANTS = "others"
TOTAL_WEIGHT, WORST_WEIGHT, CLASS_WEIGHT = 0.65, 0.15, 0.20  # of the goal
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class Share:
    """Weighted work, in microseconds on one core times the priority weight.

    Attributes:
        offered: of all requests.
        earned: of responses in time.
    """

    offered: float = 0.0
    earned: float = 0.0

    @property
    def service(self) -> float:
        """What was earned of what was offered; 1 where nothing was."""
        return self.earned / self.offered if self.offered else 1.0


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Figures:
    """What the responses of one replay earned.

    Attributes:
        total: of all requests.
        by_class: by request class.
        by_tenant: by tenant.
        by_second: by the second of the planned instant.
        times: times to the response, by request class.
        lateness: of sending.
        partial: responses that left a call out.
        late: responses after the latency objective.
    """

    total: Share = field(default_factory=Share)
    by_class: dict[str, Share] = field(default_factory=dict)
    by_tenant: dict[str, Share] = field(default_factory=dict)
    by_second: list[Share] = field(default_factory=list)
    times: dict[str, HdrHistogram] = field(default_factory=dict)
    lateness: HdrHistogram = field(default_factory=new_histogram)
    partial: int = 0
    late: int = 0

    def add_offered(self, planned: PlannedRequest, priority_weight: float) -> None:
        """Add a request."""
        for share in self._shares(planned):
            share.offered += priority_weight * planned.work_us

    def add_done(
        self, planned: PlannedRequest, request_class: ClassSettings, elapsed_us: int, is_partial: bool
    ) -> None:
        """Add the response of a request that is done.

        Args:
            planned: the request.
            request_class: the settings of its class.
            elapsed_us: from its planned instant to the response, in microseconds.
            is_partial: a call was left out.
        """
        _record(self.times.setdefault(planned.request_class, new_histogram()), elapsed_us)
        self.partial += is_partial
        if elapsed_us > request_class.latency_objective_us:
            self.late += 1
            return
        factor = request_class.skipped_call_factor if is_partial else 1.0
        for share in self._shares(planned):
            share.earned += request_class.priority_weight * planned.work_us * factor

    def add_lateness(self, late_us: int) -> None:
        """Add how late a request was sent, in microseconds."""
        _record(self.lateness, late_us)

    def _shares(self, planned: PlannedRequest) -> tuple[Share, ...]:
        tenant = planned.tenant
        if tenant not in self.by_tenant and len(self.by_tenant) >= MAX_TENANTS:
            tenant = OTHER_TENANTS
        second = planned.at_us // 1_000_000
        while len(self.by_second) <= second:
            self.by_second.append(Share())
        return (
            self.total,
            self.by_class.setdefault(planned.request_class, Share()),
            self.by_tenant.setdefault(tenant, Share()),
            self.by_second[second],
        )

    def worst(self) -> float:
        """Return the service of the worst ten seconds, or the total where the replay is shorter."""
        seconds = self.by_second
        if len(seconds) <= WORST_SECONDS:
            return self.total.service
        worst = 1.0
        for start in range(len(seconds) - WORST_SECONDS + 1):
            window = seconds[start : start + WORST_SECONDS]
            offered = sum(share.offered for share in window)
            if offered:
                worst = min(worst, sum(share.earned for share in window) / offered)
        return worst

    def goal(self) -> float:
        """Return the weighted mean of the total, the worst ten seconds and the worst class."""
        worst_class = min((share.service for share in self.by_class.values()), default=1.0)
        return TOTAL_WEIGHT * self.total.service + WORST_WEIGHT * self.worst() + CLASS_WEIGHT * worst_class

    def report(self) -> dict[str, Any]:
        """Return the figures as JSON, not rounded."""
        return {
            "service": self.total.service,
            "goal": self.goal(),
            "worst_10s": self.worst(),
            "by_class": _services(self.by_class),
            "by_tenant": _services(self.by_tenant),
            "by_second": [[share.offered, share.earned] for share in self.by_second],
            "poor": self.partial,
            "after_aim": self.late,
            "times_ms": {name: _percentiles(self.times[name]) for name in sorted(self.times)},
            "histograms": {name: _encoded(self.times[name]) for name in sorted(self.times)},
            "late_sends_ms": _percentiles(self.lateness),
        }


def _record(histogram: HdrHistogram, time_us: int) -> None:
    histogram.record_value(min(MAX_TIME_US, max(1, time_us)))


def _services(shares: Mapping[str, Share]) -> dict[str, float]:
    return {name: shares[name].service for name in sorted(shares)}


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return milliseconds by percentile, and the number of values."""
    values = {f"p{point:g}": histogram.get_value_at_percentile(point) / 1000 for point in PERCENTILES}
    return {**values, "max": histogram.get_max_value() / 1000, "count": histogram.get_total_count()}


def _encoded(histogram: HdrHistogram) -> str:
    """Return the histogram in its own format (HdrHistogram V2, base64)."""
    data = histogram.encode()
    return data.decode("ascii") if isinstance(data, bytes) else base64.b64encode(bytes(data)).decode("ascii")
