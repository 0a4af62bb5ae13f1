"""Tests of the trace formats with the example files, and of arrivals that are known only at the end of a part."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from examples.traces.make import MAKERS, make
from marlstep.traces.formats import MODULES, format_by_name
from marlstep.traces.reading import Reading
from tests.frontends.test_parsers import FIXED
from tests.traces.support import EXAMPLES, check_account, read

# Contents of the examples: rows, bad rows, duplicates, arrivals.
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
def test_an_example_equals_the_output_of_its_maker_and_has_the_expected_counts(name: str) -> None:
    path = EXAMPLES / f"{name}.csv"
    assert path.read_bytes() == make(name)
    reading, rows, rejects = read(path, name)
    check_account(reading, rows, rejects)
    account = reading.account
    assert (account.rows, account.bad, account.duplicates, account.arrivals) == EXPECTED[name]
    assert account.out_of_order > 0 or name == "azure-2019"


@pytest.mark.parametrize("name", sorted(MODULES))
@FIXED
@given(st.data())
def test_the_account_is_consistent_for_any_corruption_of_any_format(
    tmp_path_factory: pytest.TempPathFactory, name: str, data: st.DataObject
) -> None:
    content = (EXAMPLES / f"{name}.csv").read_bytes()
    content = b"\n".join(content.split(b"\n")[:6]) if name == "azure-2019" else content[:6000]
    start = data.draw(st.integers(0, len(content)))
    garbage = data.draw(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [b"\n", b'"', b"\0", b"\r\n", b",", b"\xff", b"-", b"nan", b"9" * 30, b"x" * 70_000]
            ),
        )
    )
    cut = data.draw(st.integers(0, 60))
    if name == "azure-2019":  # an extra digit in a count could add a hundred thousand arrivals
        garbage = garbage.translate(None, b"0123456789")
    path = tmp_path_factory.mktemp("t") / "t"
    path.write_bytes(content[:start] + garbage + content[start + cut :])
    check_account(*read(path, name))


def test_arrivals_of_a_minute_are_spread_according_to_the_seed(tmp_path: Path) -> None:
    def times(seed: int) -> list[int]:
        return [row.at_us for row in read(EXAMPLES / "azure-2019.csv", "azure-2019", seed=seed)[1]]

    assert times(1) == times(1) != times(2)
    assert len(times(1)) == len(times(2)) == 534
    two_days = Reading(format_by_name("azure-2019"), [str(EXAMPLES / "azure-2019.csv")] * 2, seed=1)
    rows = [row for batch in two_days.batches() for row in batch]
    assert len(rows) == 2 * 534 and rows[-1].at_us > 86_400_000_000


def test_a_corrupt_header_of_counts_is_not_read_as_a_row(tmp_path: Path) -> None:
    path = tmp_path / "trace.csv"
    path.write_bytes((EXAMPLES / "azure-2019.csv").read_bytes().replace(b"HashOwner", b"HashOwne", 1))
    reading, rows, rejects = read(path, "azure-2019")
    check_account(reading, rows, rejects)
    assert rejects[0].reason.value == "no-header" and len(rows) == 534


def test_every_example_has_a_maker_and_a_format() -> None:
    assert set(MAKERS) == set(MODULES) == set(EXPECTED)
