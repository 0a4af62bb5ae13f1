"""Tests of reading a trace: every line is accounted for, whatever its content."""

from __future__ import annotations

from pathlib import Path

import pytest

from marlstep.traces.reading import StrictReadingError
from tests.traces.support import ROW_2011, check_account, read_rows


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
def test_a_bad_row_is_reported_with_its_reason_and_affects_no_other_row(
    tmp_path: Path, row: str | bytes, reason: str, column: str
) -> None:
    good = [ROW_2011.format(time=600 + number, index=number) for number in range(3)]
    reading, rows, rejects = read_rows(tmp_path, good[0], row, good[1], good[2])
    check_account(reading, rows, rejects)
    assert [(reject.line, reject.reason.value, reject.column) for reject in rejects] == [(2, reason, column)]
    assert [row.line for row in rows] == [1, 3, 4]
    with pytest.raises(StrictReadingError, match=f"trace.csv:2: {reason}"):
        read_rows(tmp_path, good[0], row, is_strict=True)


def test_byte_order_marks_and_carriage_returns_are_noted_and_reject_no_row(tmp_path: Path) -> None:
    lines = [ROW_2011.format(time=600 + number, index=number) for number in range(3)]
    reading, rows, rejects = read_rows(
        tmp_path, "", "\ufeff" + lines[0] + "\r", '"' + lines[1].replace(",", '","') + '"'
    )
    check_account(reading, rows, rejects)
    assert len(rows) == 2 and dict(reading.account.notes) == {"bom": 1, "crlf": 1}
