"""Renders metrics in the text format of Prometheus, with prometheus_client."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

PREFIX = "marlstep_"
COUNTER_SUFFIX = "_total"
METRIC_NAME = re.compile(r'([a-zA-Z0-9_]+)(?:\{([a-z_]+)="(.*)"\})?')  # at most one label


class MetricsCollector(Collector):
    """Collects values as metric families: a name that ends in `_total` is a counter, any other a gauge."""

    def __init__(self, values: Mapping[str, float]) -> None:
        """Initialize the collector with the values, by metric name without the prefix."""
        self._values = values

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families; values with an invalid metric name are skipped."""
        families: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
        for text, value in self._values.items():
            match = METRIC_NAME.fullmatch(text)
            if match is None:
                continue
            name, label, label_value = match.groups()
            if name not in families:
                families[name] = _family(name, label)
            families[name].add_metric([label_value] if label else [], value)
        yield from families.values()


def _family(name: str, label: str | None) -> CounterMetricFamily | GaugeMetricFamily:
    family_type = CounterMetricFamily if name.endswith(COUNTER_SUFFIX) else GaugeMetricFamily
    return family_type(f"{PREFIX}{name}", name.replace("_", " "), labels=[label] if label else [])


def render_metrics(values: Mapping[str, float]) -> bytes:
    """Return the values, given by metric name without the prefix, in the text format."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(values))
    return generate_latest(registry)
