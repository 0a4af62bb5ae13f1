"""`marlstep trace inspect`: summarize the contents of a trace, and its bad rows."""

from __future__ import annotations

import click

from marlstep.cli.output import JsonObject, unwrapped_help
from marlstep.cli.trace.output import print_report
from marlstep.cli.trace.reading import (
    ReadingOptions,
    exit_on_error,
    exit_unusable,
    reading_options,
    report_rejects,
    show_progress,
)
from marlstep.traces.account import Account
from marlstep.traces.cutting import Counts
from marlstep.traces.mapping import Mapper
from marlstep.traces.reading import Reading

MAX_LISTED_NAMES = 50  # of tenants, and of categories


@click.command()
@reading_options
@click.pass_context
@unwrapped_help(
    "Examples:",
    "  marlstep trace inspect --format google-2011 examples/traces/google-2011.csv",
    "  zcat part-*.csv.gz | marlstep trace inspect --format google-2011 --json -",
)
def inspect(ctx: click.Context, options: ReadingOptions) -> None:
    """Say what a trace holds and what is wrong with it."""
    with exit_on_error(ctx), show_progress(options.parts) as progress:
        trace_format, mapping = options.load_format(options.format_name)
        reading = options.make_reading(trace_format)
        reading.on_raw = progress
        mapper = Mapper(mapping, options.seed)
        with report_rejects(reading, options.rejects_path):
            counts = _read_all(reading, mapper)
    print_report(_report(reading.account, mapper, counts), options.as_json)
    if not reading.account.arrivals:
        exit_unusable(ctx, "no arrival in it")


def _read_all(reading: Reading, mapper: Mapper) -> Counts:
    counts = Counts()
    start_us: int | None = None
    for batch in reading.batches():
        if start_us is None:
            start_us = batch[0].at_us
        for row in batch:
            mapper.map(row)
            counts.add(row.at_us - start_us)
    return counts


def _report(account: Account, mapper: Mapper, counts: Counts) -> JsonObject:
    return {
        **_account_report(account),
        "classes": dict(mapper.mapped),
        "dropped": dict(mapper.dropped),
        "dispersion": round(counts.dispersion(), 4),
        "mean_per_s": round(counts.total / counts.seconds, 4) if counts.seconds else 0.0,
        "most_per_s": max(counts.arrivals, default=0),
    }


def _account_report(account: Account) -> JsonObject:
    return {
        "rows": account.rows,
        "good": account.good,
        "bad": account.bad,
        "bad_by_reason": dict(sorted(account.bad_by_reason.items())),
        "out_of_order": account.out_of_order,
        "duplicates": account.duplicates,
        "arrivals": account.arrivals,
        "skipped": dict(sorted(account.skipped.items())),
        "first_s": None if account.first_us is None else account.first_us / 1e6,
        "last_s": None if account.last_us is None else account.last_us / 1e6,
        "tenants": dict(account.tenants.most_common(MAX_LISTED_NAMES)),
        "tenants_total": len(account.tenants),
        "kinds": dict(account.categories.most_common(MAX_LISTED_NAMES)),
        "lines": account.lines,
        "headers": account.headers,
        "blank": account.blank,
        "notes": dict(account.notes),
    }
