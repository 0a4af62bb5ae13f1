"""Two replays side by side, as text and as a plot in one file."""

from __future__ import annotations

import base64
import html
import io
import json
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

NEEDED = (
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


class ReportError(Exception):
    """What is wrong with a report, in one line."""


def load(path: str) -> dict[str, Any]:
    try:
        told = json.loads(Path(path).read_text("utf-8"))
    except OSError as fault:
        raise ReportError(f"{path}: {fault.strerror}") from fault
    except ValueError as fault:
        raise ReportError(f"{path}: not a report: {fault}") from fault
    missing = [name for name in NEEDED if not isinstance(told, dict) or name not in told]
    if missing:
        raise ReportError(f"{path}: not the report of a replay: {', '.join(missing)} missing")
    return told  # type: ignore[no-any-return]


def compared(first: dict[str, Any], second: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    rows = [(name, first.get(name), second.get(name)) for name in ("service", "goal", "worst_10s")]
    for group in ("by_class", "by_tenant"):
        for name in sorted({*first[group], *second[group]}):
            rows.append((f"{group[3:]} {name}", first[group].get(name), second[group].get(name)))
    for name in sorted({*first["times_ms"], *second["times_ms"]}):
        for point in ("p50", "p99"):
            one, other = (run["times_ms"].get(name, {}).get(point) for run in (first, second))
            rows.append((f"{name} {point} ms", one, other))
    for name in ("sent", "answered", "lost", "refused", "failed", "expired", "retries", "poor", "ran_twice"):
        rows.append((name, first.get(name), second.get(name)))
    return rows


def as_text(first: dict[str, Any], second: dict[str, Any], names: tuple[str, str]) -> str:
    lines = [f"{'':<28}{names[0][-18:]:>20}{names[1][-18:]:>20}{'change':>12}"]
    for name, one, other in compared(first, second):
        change = f"{other - one:+.4f}" if one is not None and other is not None else ""
        lines.append(f"{name:<28}{_shown(one):>20}{_shown(other):>20}{change:>12}")
    for run, name in zip((first, second), names, strict=True):
        if run.get("counts") is False:
            lines.append(f"{name} does not count: its senders fell behind")
    return "\n".join(lines)


def _shown(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.4f}" if isinstance(value, float) else str(value)


def plot(first: dict[str, Any], second: dict[str, Any], names: tuple[str, str], path: str) -> None:
    """A PNG, or a page that holds it and the table, by the ending of the path."""
    image = _image(first, second, names)
    if path.endswith(".png"):
        Path(path).write_bytes(image)
        return
    if not path.endswith((".html", ".htm")):
        raise ReportError(f"{path}: a plot goes to a file that ends in .png or .html")
    text = html.escape(as_text(first, second, names))
    data = base64.b64encode(image).decode("ascii")
    title = html.escape(f"{names[0]} and {names[1]}")
    Path(path).write_text(
        f'<!doctype html><meta charset="utf-8"><title>{title}</title>'
        f'<h1>{title}</h1><img alt="service by second and times to the answer" src="data:image/png;base64,{data}">'
        f"<pre>{text}</pre>\n",
        "utf-8",
    )


def _image(first: dict[str, Any], second: dict[str, Any], names: tuple[str, str]) -> bytes:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 8), layout="constrained")
    service, load_, times = figure.subplots(3, 1)
    for run, name in zip((first, second), names, strict=True):
        seconds = range(len(run["by_second"]))
        asked = [one / 1e6 for one, _ in run["by_second"]]
        shares = [got / one if one else 1.0 for one, got in run["by_second"]]
        service.step(seconds, shares, where="post", label=f"{name}: {run['service']:.4f}")
        load_.step(seconds, asked, where="post", label=name)
        for kind, text in sorted(run["histograms"].items()):
            values = HdrHistogram.decode(text)
            points = [99.9 * step / 200 for step in range(201)]
            lengths = [values.get_value_at_percentile(point) / 1000 for point in points]
            times.plot(lengths, points, label=f"{name}: {kind}")
    service.set(ylabel="service", ylim=(0, 1.05), title="worth answered in time over worth asked, by second")
    load_.set(ylabel="worth x s of work asked", xlabel="s")
    times.set(xscale="log", xlabel="ms to the answer", ylabel="percentile")
    for axes in (service, load_, times):
        axes.grid(alpha=0.3)
        axes.legend(fontsize="small")
    sink = io.BytesIO()
    figure.savefig(sink, format="png", dpi=90, metadata={"Software": "marlstep"})
    return sink.getvalue()
