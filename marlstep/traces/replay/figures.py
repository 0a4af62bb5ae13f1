"""Service metrics: the service is the weighted work answered in time divided by the weighted work offered.

The weighted work of a request is its work times the priority weight of its class. A response with a skipped call earns
it times the class's factor for skipped calls; a response after the latency objective earns nothing. The service is
also computed by class, by tenant and for the worst ten seconds; histograms hold the times to the response.
"""

from __future__ import annotations

import base64
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from marlstep.admission.settings import ClassSettings
from marlstep.traces.mapping import PlannedRequest

MAX_TIME_US = 60_000_000  # longer times are recorded as this value
SIGNIFICANT_DIGITS = 3
WORST_SECONDS = 10
MAX_TENANTS = 1_000  # number of tenants counted separately
OTHER_TENANTS = "others"
TOTAL_WEIGHT, WORST_WEIGHT, CLASS_WEIGHT = 0.65, 0.15, 0.20  # weights in the goal
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class WeightedWork:
    """Weighted work: microseconds on one core times the priority weight.

    Attributes:
        offered: Weighted work of all requests.
        earned: Weighted work earned by responses in time.
    """

    offered: float = 0.0
    earned: float = 0.0

    @property
    def service(self) -> float:
        """Earned divided by offered weighted work; 1 if none was offered."""
        return self.earned / self.offered if self.offered else 1.0


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class ServiceMetrics:
    """Service metrics of one replay.

    Attributes:
        total: Weighted work of all requests.
        by_class: Weighted work by request class.
        by_tenant: Weighted work by tenant.
        by_second: Weighted work by the second of the planned time.
        times: Histograms of the time to the response in microseconds, by request class.
        lateness: Histogram of the delay of sending, in microseconds.
        partial: Number of responses with a skipped call.
        late: Number of responses after the latency objective.
    """

    total: WeightedWork = field(default_factory=WeightedWork)
    by_class: dict[str, WeightedWork] = field(default_factory=dict)
    by_tenant: dict[str, WeightedWork] = field(default_factory=dict)
    by_second: list[WeightedWork] = field(default_factory=list)
    times: dict[str, HdrHistogram] = field(default_factory=dict)
    lateness: HdrHistogram = field(default_factory=new_histogram)
    partial: int = 0
    late: int = 0

    def add_offered(self, planned: PlannedRequest, priority_weight: float) -> None:
        """Add the weighted work of a request to the offered work."""
        for weighted_work in self._totals_for(planned):
            weighted_work.offered += priority_weight * planned.work_us

    def add_done(
        self, planned: PlannedRequest, request_class: ClassSettings, elapsed_us: int, is_partial: bool
    ) -> None:
        """Add the response of a request that is done.

        Args:
            planned: Request of the schedule.
            request_class: Settings of its class.
            elapsed_us: Time from the planned time of the request to the response, in microseconds.
            is_partial: Whether a call was skipped.
        """
        _record(self.times.setdefault(planned.request_class, new_histogram()), elapsed_us)
        self.partial += is_partial
        if elapsed_us > request_class.latency_objective_us:
            self.late += 1
            return
        factor = request_class.skipped_call_factor if is_partial else 1.0
        for weighted_work in self._totals_for(planned):
            weighted_work.earned += request_class.priority_weight * planned.work_us * factor

    def add_lateness(self, late_us: int) -> None:
        """Add the delay with which a request was sent, in microseconds."""
        _record(self.lateness, late_us)

    def _totals_for(self, planned: PlannedRequest) -> tuple[WeightedWork, ...]:
        tenant = planned.tenant
        if tenant not in self.by_tenant and len(self.by_tenant) >= MAX_TENANTS:
            tenant = OTHER_TENANTS
        second = planned.at_us // 1_000_000
        while len(self.by_second) <= second:
            self.by_second.append(WeightedWork())
        return (
            self.total,
            self.by_class.setdefault(planned.request_class, WeightedWork()),
            self.by_tenant.setdefault(tenant, WeightedWork()),
            self.by_second[second],
        )

    def worst_window(self) -> float:
        """Return the service of the worst ten seconds, or the total if the replay is not longer than that."""
        seconds = self.by_second
        if len(seconds) <= WORST_SECONDS:
            return self.total.service
        worst_window = 1.0
        for start in range(len(seconds) - WORST_SECONDS + 1):
            window = seconds[start : start + WORST_SECONDS]
            offered = sum(weighted_work.offered for weighted_work in window)
            if offered:
                worst_window = min(
                    worst_window, sum(weighted_work.earned for weighted_work in window) / offered
                )
        return worst_window

    def goal(self) -> float:
        """Return the weighted mean of the total, the worst ten seconds and the worst class."""
        worst_class = min((weighted_work.service for weighted_work in self.by_class.values()), default=1.0)
        return (
            TOTAL_WEIGHT * self.total.service
            + WORST_WEIGHT * self.worst_window()
            + CLASS_WEIGHT * worst_class
        )

    def report(self) -> dict[str, Any]:
        """Return the metrics as a JSON object, not rounded."""
        return {
            "service": self.total.service,
            "goal": self.goal(),
            "worst_10s": self.worst_window(),
            "by_class": _services_by_name(self.by_class),
            "by_tenant": _services_by_name(self.by_tenant),
            "by_second": [[weighted_work.offered, weighted_work.earned] for weighted_work in self.by_second],
            "poor": self.partial,
            "after_aim": self.late,
            "times_ms": {name: _percentiles(self.times[name]) for name in sorted(self.times)},
            "histograms": {name: _encode(self.times[name]) for name in sorted(self.times)},
            "late_sends_ms": _percentiles(self.lateness),
        }


def _record(histogram: HdrHistogram, time_us: int) -> None:
    histogram.record_value(min(MAX_TIME_US, max(1, time_us)))


def _services_by_name(by_name: Mapping[str, WeightedWork]) -> dict[str, float]:
    return {name: by_name[name].service for name in sorted(by_name)}


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the percentiles and the maximum in milliseconds, and the number of values."""
    values = {f"p{point:g}": histogram.get_value_at_percentile(point) / 1000 for point in PERCENTILES}
    return {**values, "max": histogram.get_max_value() / 1000, "count": histogram.get_total_count()}


def _encode(histogram: HdrHistogram) -> str:
    """Return the histogram in its serialized form (HdrHistogram V2, base64)."""
    data = histogram.encode()
    return data.decode("ascii") if isinstance(data, bytes) else base64.b64encode(bytes(data)).decode("ascii")
