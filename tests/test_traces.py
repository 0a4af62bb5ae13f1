"""Reading traces: every line is accounted for, in any format, whatever it holds."""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from examples.traces.make import MAKERS, make
from marlstep.cli.main import call
from marlstep.traces.formats import MODULES, named
from marlstep.traces.formats.base import Format
from marlstep.traces.formats.generic import Columns, Generic
from marlstep.traces.lines import LineCutter
from marlstep.traces.reading import Reading, StrictReadingError
from marlstep.traces.reordering import MIN_ROWS_AFTER_GAP, Reorderer
from marlstep.traces.rows import Arrival, Reject
from tests.frontends.test_parsers import FIXED

EXAMPLES = Path(__file__).parent.parent / "examples" / "traces"
GENERIC = Generic(Columns("at_ms", 1_000, "site", "kind", "work_ms", "gateway"))
ROW_2011 = "{time},,6250000001,{index},,0,user-1,2,0,0.01,0.01,0.01,0"


def format_of(name: str) -> Format:
    return GENERIC if name == "generic" else named(name)


def read(path: Path, name: str = "google-2011", **other: Any) -> tuple[Reading, list[Arrival], list[Reject]]:
    rejects: list[Reject] = []
    reading = Reading(format_of(name), [str(path)], on_reject=rejects.append, **other)
    rows = [row for batch in reading.batches() for row in batch]
    return reading, rows, rejects


def read_rows(
    tmp_path: Path, *lines: str | bytes, **other: Any
) -> tuple[Reading, list[Arrival], list[Reject]]:
    path = tmp_path / "trace.csv"
    path.write_bytes(b"\n".join(line if isinstance(line, bytes) else line.encode() for line in lines))
    return read(path, **other)


def adds_up(reading: Reading, rows: list[Arrival], rejects: list[Reject]) -> None:
    """What was read is a header, empty, or a row; and a row is good or one reject."""
    account = reading.account
    assert account.lines == account.headers + account.blank + account.rows
    assert account.bad == len(rejects) == account.bad_by_reason.total()
    assert account.arrivals == len(rows) == account.tenants.total() == account.categories.total()
    assert [row.at_us for row in rows] == sorted(row.at_us for row in rows)
    if reading.format.name != "azure-2019":
        skipped = account.skipped.total() - account.skipped["duplicate"]
        assert account.good == account.arrivals + account.duplicates + skipped


# What the examples hold: rows, bad, duplicates, arrivals.
EXPECTED = {
    "google-2011": (833, 7, 1, 590),
    "google-2019": (800, 4, 1, 598),
    "alibaba-2018-task": (630, 4, 1, 624),
    "alibaba-2018-instance": (595, 3, 1, 591),
    "alibaba-2021-calls": (589, 3, 1, 585),
    "azure-2019": (15, 2, 1, 534),
    "azure-2021": (600, 3, 1, 595),
    "generic": (553, 3, 0, 550),
}


@pytest.mark.parametrize("name", sorted(MODULES))
def test_the_examples_are_what_the_script_makes_and_hold_what_they_say(name: str) -> None:
    path = EXAMPLES / f"{name}.csv"
    assert path.read_bytes() == make(name)
    reading, rows, rejects = read(path, name)
    adds_up(reading, rows, rejects)
    account = reading.account
    assert (account.rows, account.bad, account.duplicates, account.arrivals) == EXPECTED[name]
    assert account.out_of_order > 0 or name == "azure-2019"


@pytest.mark.parametrize("name", sorted(MODULES))
@FIXED
@given(st.data())
def test_any_damage_in_any_format_leaves_an_account_that_adds_up(
    tmp_path_factory: pytest.TempPathFactory, name: str, data: st.DataObject
) -> None:
    whole = (EXAMPLES / f"{name}.csv").read_bytes()
    whole = b"\n".join(whole.split(b"\n")[:6]) if name == "azure-2019" else whole[:6000]
    at = data.draw(st.integers(0, len(whole)))
    garbage = data.draw(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [b"\n", b'"', b"\0", b"\r\n", b",", b"\xff", b"-", b"nan", b"9" * 30, b"x" * 70_000]
            ),
        )
    )
    cut = data.draw(st.integers(0, 60))
    if name == "azure-2019":  # one more digit in a count is a hundred thousand arrivals
        garbage = garbage.translate(None, b"0123456789")
    path = tmp_path_factory.mktemp("t") / "t"
    path.write_bytes(whole[:at] + garbage + whole[at + cut :])
    adds_up(*read(path, name))


@FIXED
@given(st.binary(max_size=300), st.lists(st.integers(1, 40), max_size=12))
def test_lines_are_the_same_however_the_stream_is_cut(data: bytes, cuts: list[int]) -> None:
    def cut_up(sizes: list[int]) -> list[bytes | None]:
        cutter, lines, at = LineCutter(max_line_bytes=24), [], 0
        for size in [*sizes, len(data) + 1]:
            lines += cutter.feed(data[at : at + size])
            at += size
        rest = cutter.end()
        return lines if rest is None else [*lines, rest]

    wanted = [line if len(line) <= 24 else None for line in data.split(b"\n")]
    if wanted[-1] == b"":
        wanted.pop()
    assert cut_up(cuts) == wanted


@pytest.mark.parametrize(
    ("row", "reason", "column"),
    [
        ("600,,1", "missing-columns", ""),
        (ROW_2011.format(time=5, index=1) + ",9", "surplus-columns", ""),
        (ROW_2011.format(time="", index=1), "empty", "time"),
        (ROW_2011.format(time="soon", index=1), "not-a-number", "time"),
        (ROW_2011.format(time="1_000", index=1), "not-a-number", "time"),
        (ROW_2011.format(time="-5", index=1), "negative", "time"),
        (ROW_2011.format(time="NaN", index=1), "not-finite", "time"),
        (ROW_2011.format(time="1e999", index=1), "overflow", "time"),
        (ROW_2011.format(time="9" * 5000, index=1), "overflow", "time"),
        (ROW_2011.format(time=5, index=1).replace("0.01", "inf", 1), "not-finite", "cpu_request"),
        (ROW_2011.format(time=5, index=1).replace("user-1", ""), "empty", "user"),
        (ROW_2011.format(time=5, index=1).replace(",0,user", ",17,user"), "not-a-number", "event_type"),
        (ROW_2011.format(time=5, index='"1'), "open-quote", ""),
        (ROW_2011.format(time=5, index='"1"2'), "bad-quote", ""),
        (ROW_2011.format(time=5, index="\0"), "nul", ""),
        (ROW_2011.format(time=5, index="é").encode("latin-1"), "not-utf8", ""),
        (ROW_2011.format(time=5, index="1" * 70_000), "line-too-long", ""),
    ],
)
def test_each_kind_of_bad_row_is_named_and_costs_only_itself(
    tmp_path: Path, row: str | bytes, reason: str, column: str
) -> None:
    good = [ROW_2011.format(time=600 + number, index=number) for number in range(3)]
    reading, rows, rejects = read_rows(tmp_path, good[0], row, good[1], good[2])
    adds_up(reading, rows, rejects)
    assert [(reject.line, reject.reason.value, reject.column) for reject in rejects] == [(2, reason, column)]
    assert [row.line for row in rows] == [1, 3, 4]
    with pytest.raises(StrictReadingError, match=f"trace.csv:2: {reason}"):
        read_rows(tmp_path, good[0], row, is_strict=True)


def test_marks_of_other_systems_are_noted_and_cost_nothing(tmp_path: Path) -> None:
    lines = [ROW_2011.format(time=600 + number, index=number) for number in range(3)]
    reading, rows, rejects = read_rows(
        tmp_path, "", "\ufeff" + lines[0] + "\r", '"' + lines[1].replace(",", '","') + '"'
    )
    adds_up(reading, rows, rejects)
    assert len(rows) == 2 and dict(reading.account.notes) == {"bom": 1, "crlf": 1}


def packed(data: bytes, kind: str) -> bytes:
    return gzip.compress(data) if kind == "gzip" else zstandard.compress(data)


@pytest.mark.parametrize("kind", ["gzip", "zstd"])
def test_compressed_parts_are_known_by_what_they_hold(tmp_path: Path, kind: str) -> None:
    whole = make("google-2011")
    half = whole.index(b"\n", len(whole) // 2) + 1
    path = tmp_path / "trace.csv"  # the name says nothing
    path.write_bytes(
        packed(whole[:half], kind) + packed(whole[half:], kind)
    )  # two members, as cat makes them
    reading, rows, rejects = read(path)
    adds_up(reading, rows, rejects)
    assert (reading.account.rows, reading.account.bad, 1, len(rows)) == EXPECTED["google-2011"]


@pytest.mark.parametrize("kind", ["gzip", "zstd"])
def test_a_stream_that_is_cut_or_spoilt_is_one_reject_behind_what_came_whole(
    tmp_path: Path, kind: str
) -> None:
    lines = [ROW_2011.format(time=600 + number, index=number) for number in range(2000)]
    data = packed("\n".join(lines).encode(), kind)
    path = tmp_path / "trace.csv"
    for size in (5, len(data) // 3, len(data) - 5, len(data) - 1):
        path.write_bytes(data[:size])
        reading, rows, rejects = read(path)
        adds_up(reading, rows, rejects)
        assert [reject.reason.value for reject in rejects] == ["truncated"]
    path.write_bytes(data[: len(data) // 2] + bytes(60) + data[len(data) // 2 + 60 :])
    reading, rows, rejects = read(path)
    adds_up(reading, rows, rejects)
    assert rejects and rejects[-1].reason.value in ("corrupt", "truncated")


def test_a_bomb_unfolds_piece_by_piece(tmp_path: Path) -> None:
    # Guards against memory that follows what a small file unfolds to.
    path = tmp_path / "bomb"
    path.write_bytes(gzip.compress(bytes(50_000_000)))
    sizes: list[int] = []
    reading = Reading(format_of("google-2011"), [str(path)], on_progress=sizes.append)
    assert list(reading.batches()) == [] and max(sizes) <= 256 * 1024
    assert dict(reading.account.bad_by_reason) == {"line-too-long": 1}


def arrival(at: int, name: str = "") -> Arrival:
    return Arrival(at, "job", name or str(at), "t", "0", 0.0, 0)


@FIXED
@given(
    st.lists(st.integers(0, 400), max_size=150), st.integers(0, 60), st.lists(st.integers(1, 30), max_size=20)
)
def test_order_is_put_right_within_the_window_and_what_is_late_depends_on_the_rows_alone(
    times: list[int], window: int, cuts: list[int]
) -> None:
    rows = [arrival(at, f"n{number}") for number, at in enumerate(times)]
    high = -1
    late: list[Arrival] = []
    kept: list[Arrival] = []
    for row in rows:
        (late if row.at_us < high - window else kept).append(row)
        high = max(high, row.at_us)
    order, found, found_late, at = Reorderer(window), [], [], 0
    for size in [*cuts, len(rows)]:
        told = order.push(rows[at : at + size])
        found += told.ready
        found_late += told.late
        at += size
    found += order.end()
    assert found == sorted(kept) and found_late == late


def test_a_row_far_ahead_does_not_make_all_others_late() -> None:
    # Guards against one wrong timestamp that turns the rest of a trace into rejects.
    day = 86_400_000_000
    for stray in (0, 5):
        times = [1_000 + number for number in range(100)]
        times.insert(stray, 900 * day)
        order = Reorderer(10)
        told = order.push([arrival(at) for at in times])
        assert [row.at_us for row in told.jumps] == [900 * day]
        assert len(told.ready) + len(order.end()) == 100 and told.late == []
    order = Reorderer(10)  # a real gap: enough rows agree
    times = [*range(5), *range(900 * day, 900 * day + MIN_ROWS_AFTER_GAP)]
    told = order.push([arrival(at) for at in times])
    assert told.jumps == [] and len(told.ready) + len(order.end()) == len(times)


def test_a_window_that_holds_too_many_lets_the_older_half_go() -> None:
    order = Reorderer(1_000_000, max_waiting_rows=10_000)
    ready = [
        row
        for start in range(0, 50_000, 500)
        for row in order.push([arrival(at) for at in range(start, start + 500)]).ready
    ]
    assert order.forced > 0 and len(order._waiting) <= 20_000
    assert len(ready + order.end()) == 50_000


def test_counts_of_a_minute_are_spread_by_the_seed(tmp_path: Path) -> None:
    def times(seed: int) -> list[int]:
        return [row.at_us for row in read(EXAMPLES / "azure-2019.csv", "azure-2019", seed=seed)[1]]

    assert times(1) == times(1) != times(2)
    assert len(times(1)) == len(times(2)) == 534
    two_days = Reading(named("azure-2019"), [str(EXAMPLES / "azure-2019.csv")] * 2, seed=1)
    rows = [row for batch in two_days.batches() for row in batch]
    assert len(rows) == 2 * 534 and rows[-1].at_us > 86_400_000_000


def test_inspect_prints_one_object_and_writes_all_rejects(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source = str(EXAMPLES / "google-2011.csv")
    rejects = tmp_path / "rejects.csv"
    words = ["trace", "inspect", "--format", "google-2011", "--json", "--rejects", str(rejects)]
    assert call([*words, source]) == 0
    told = json.loads(capsys.readouterr().out)
    assert (told["rows"], told["good"], told["bad"]) == (833, 826, 7)
    assert told["bad_by_reason"]["open-quote"] == 1 and told["duplicates"] == 1
    assert set(told["classes"]) == {"temp-history", "schedule-save", "setpoint-cmd"}
    assert len(rejects.read_text().splitlines()) == 8
    assert call([*words[:4], "--strict", source]) == 3
    assert call([*words[:4], str(tmp_path / "none")]) == 2
    empty = tmp_path / "empty"
    empty.write_text("")
    assert call([*words[:4], str(empty)]) == 2
    assert call([*words[:2], source]) == 2
    assert call([*words[:2], "--format", "none", source]) == 2


def test_a_spoilt_header_of_counts_is_no_row(tmp_path: Path) -> None:
    path = tmp_path / "trace.csv"
    path.write_bytes((EXAMPLES / "azure-2019.csv").read_bytes().replace(b"HashOwner", b"HashOwne", 1))
    reading, rows, rejects = read(path, "azure-2019")
    adds_up(reading, rows, rejects)
    assert rejects[0].reason.value == "no-header" and len(rows) == 534


def test_every_example_has_a_maker_and_a_format() -> None:
    assert set(MAKERS) == set(MODULES) == set(EXPECTED)
