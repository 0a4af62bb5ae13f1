"""Comparison of two replays, as a table of text and as a plot."""

from __future__ import annotations

import base64
import html
import io
import json
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from marlstep.errors import MarlstepError

if TYPE_CHECKING:  # matplotlib is imported only to draw a plot
    from matplotlib.axes import Axes

REQUIRED_KEYS = (
    "service",
    "by_class",
    "by_tenant",
    "sent",
    "answered",
    "lost",
    "by_second",
    "times_ms",
    "histograms",
)
SERVICE_KEYS = ("service", "goal", "worst_10s")
GROUP_PREFIX = "by_"
PERCENTILES = ("p50", "p99")
COUNT_KEYS = ("sent", "answered", "lost", "refused", "failed", "expired", "retries", "poor", "ran_twice")
MAX_NAME_LENGTH = 18  # number of trailing characters of a path shown in the table
PLOT_STEPS = 200
PLOT_MAX_PERCENTILE = 99.9
PLOT_SIZE_INCHES = (11, 8)
PLOT_DPI = 90

Report = Mapping[str, Any]
Row = tuple[str, float | None, float | None]


class ReportError(MarlstepError):
    """A report can't be read, or a plot can't be written.

    Attributes:
        path: Path of the file.
        problem: What is wrong with the file.
    """

    def __init__(self, path: str, problem: object) -> None:
        """Initialize the error with the path of the file and the problem."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def load(path: str) -> Report:
    """Read the report of a replay.

    Raises:
        ReportError: The file can't be read, is not JSON, or lacks a required key.
    """
    try:
        report = json.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise ReportError(path, error.strerror) from error
    except ValueError as error:
        raise ReportError(path, f"not a report: {error}") from error
    missing = [key for key in REQUIRED_KEYS if not isinstance(report, dict) or key not in report]
    if missing:
        raise ReportError(path, f"not the report of a replay: {', '.join(missing)} missing")
    loaded: Report = report
    return loaded


def compare(first: Report, second: Report) -> list[Row]:
    """Return rows of a metric's name and its values in the first and the second replay; None if it is missing."""
    rows: list[Row] = [(key, first.get(key), second.get(key)) for key in SERVICE_KEYS]
    for group in ("by_class", "by_tenant"):
        rows += _group_rows(group, first[group], second[group])
    rows += _time_rows(first["times_ms"], second["times_ms"])
    rows += [(key, first.get(key), second.get(key)) for key in COUNT_KEYS]
    return rows


def _group_rows(group: str, first: Mapping[str, float], second: Mapping[str, float]) -> list[Row]:
    label = group.removeprefix(GROUP_PREFIX)
    return [(f"{label} {name}", first.get(name), second.get(name)) for name in sorted({*first, *second})]


def _time_rows(first: Mapping[str, Any], second: Mapping[str, Any]) -> list[Row]:
    return [
        (f"{name} {point} ms", first.get(name, {}).get(point), second.get(name, {}).get(point))
        for name in sorted({*first, *second})
        for point in PERCENTILES
    ]


def as_text(first: Report, second: Report, names: tuple[str, str]) -> str:
    """Return a table of both replays and their difference; the column titles are the ends of `names`."""
    titles = [name[-MAX_NAME_LENGTH:] for name in names]
    lines = [f"{'':<28}{titles[0]:>20}{titles[1]:>20}{'change':>12}"]
    for name, value, other in compare(first, second):
        change = f"{other - value:+.4f}" if value is not None and other is not None else ""
        lines.append(f"{name:<28}{_render(value):>20}{_render(other):>20}{change:>12}")
    for report, name in zip((first, second), names, strict=True):
        if report.get("counts") is False:
            lines.append(f"{name} does not count: its senders fell behind")
    return "\n".join(lines)


def _render(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.4f}" if isinstance(value, float) else str(value)


def plot(first: Report, second: Report, names: tuple[str, str], path: str) -> None:
    """Write the plot as a PNG, or as an HTML page together with the table, depending on the suffix of the path.

    Args:
        first: Report of the first replay.
        second: Report of the second replay.
        names: Names of the two replays.
        path: Path of the file to be written.

    Raises:
        ReportError: The path does not end in .png, .html or .htm.
        OSError: The file can't be written.
    """
    image = _draw_image(first, second, names)
    if path.endswith(".png"):
        Path(path).write_bytes(image)
        return
    if not path.endswith((".html", ".htm")):
        raise ReportError(path, "expected a path for the plot that ends in .png or .html")
    text = html.escape(as_text(first, second, names))
    data = base64.b64encode(image).decode("ascii")
    title = html.escape(f"{names[0]} and {names[1]}")
    Path(path).write_text(
        f'<!doctype html><meta charset="utf-8"><title>{title}</title>'
        f'<h1>{title}</h1><img alt="service by second and times to the answer" src="data:image/png;base64,{data}">'
        f"<pre>{text}</pre>\n",
        "utf-8",
    )


def _draw_image(first: Report, second: Report, names: tuple[str, str]) -> bytes:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_SIZE_INCHES, layout="constrained")
    service, load_axes, times = figure.subplots(3, 1)
    for report, name in zip((first, second), names, strict=True):
        _draw_load(service, load_axes, report, name)
        _draw_times(times, report, name)
    service.set(ylabel="service", ylim=(0, 1.05), title="worth answered in time over worth asked, by second")
    load_axes.set(ylabel="worth x s of work asked", xlabel="s")
    times.set(xscale="log", xlabel="ms to the answer", ylabel="percentile")
    for axes in (service, load_axes, times):
        axes.grid(alpha=0.3)
        axes.legend(fontsize="small")
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=PLOT_DPI, metadata={"Software": "marlstep"})
    return buffer.getvalue()


def _draw_load(service: Axes, load_axes: Axes, report: Report, name: str) -> None:
    """Draw the service and the offered work of each second."""
    by_second = report["by_second"]
    seconds = range(len(by_second))
    offered_s = [offered / 1e6 for offered, _ in by_second]
    shares = [earned / offered if offered else 1.0 for offered, earned in by_second]
    service.step(seconds, shares, where="post", label=f"{name}: {report['service']:.4f}")
    load_axes.step(seconds, offered_s, where="post", label=name)


def _draw_times(times: Axes, report: Report, name: str) -> None:
    """Draw the percentiles of the time to the response for each request class."""
    percentiles = [PLOT_MAX_PERCENTILE * step / PLOT_STEPS for step in range(PLOT_STEPS + 1)]
    for request_class, text in sorted(report["histograms"].items()):
        histogram = HdrHistogram.decode(text)
        times_ms = [histogram.get_value_at_percentile(point) / 1000 for point in percentiles]
        times.plot(times_ms, percentiles, label=f"{name}: {request_class}")
