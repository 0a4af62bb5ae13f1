"""Tests of the operator's file with tenants and priority weights derived from a trace."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.cli.main import call
from marlstep.config import check
from marlstep.traces.account import Account
from marlstep.traces.operator_file import operator_lines
from marlstep.traces.rows import Arrival
from tests.frontends.test_parsers import FIXED
from tests.support.node import raw_config

TRACE = 'time,user,queue\n0,a,1\n1,"b ""q""",0\nx,a,1\n2,,0\n3,a\n4,a,0\n'


def test_an_operators_file_is_made_from_a_trace_and_invalid_lines_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "trace.csv"
    path.write_text(TRACE)
    options = ["--tenant", "user", "--kind", "queue", "--time", "time", "--most", "1", "--headroom", "2"]
    names = ["--as", "0=schedule-save", "--as", "1=setpoint-cmd"]
    assert call(["trace", "tenants", *options, *names, str(path)]) == 0
    printed = capsys.readouterr()
    assert [f"trace.csv:{line}" in printed.err for line in range(2, 8)] == [
        False,
        False,
        True,
        True,
        True,
        False,
    ]
    operator = tomllib.loads(printed.out)
    assert operator["tenants"]["a"] == {"share": 0.666667, "allowance_per_s": 1.0}
    settings = check(raw_config(), operator).settings
    assert {tenant.name for tenant in settings.tenants} == {"a", "others"}
    assert [category.priority_weight for category in settings.classes] == [1.0, 1.0, 2.0]


def make_account(*rows: tuple[str, str]) -> Account:
    account = Account()
    account.add([Arrival(0, "", "", tenant, category, 0.0, 1) for tenant, category in rows])
    return account


def test_renamed_classes_keep_the_rank_of_their_categories() -> None:
    # Guards against ranking by the new names, and against two tables with one name if two categories share it.
    account = make_account(*(("a", category) for category in ("0", "2", "10", "1")))
    names = {"0": "z", "10": "a", "1": "m", "2": "m"}
    operator = tomllib.loads("\n".join(operator_lines(account, 5, 1.0, names)))
    assert operator["classes"] == {"z": {"worth": 1.0}, "m": {"worth": 3.0}, "a": {"worth": 4.0}}


def test_a_tenant_called_others_is_listed_once() -> None:
    account = make_account(*((tenant, "0") for tenant in ("others", "a", "a", "b")))
    for max_tenants in (1, 2, 3):
        found = tomllib.loads("\n".join(operator_lines(account, max_tenants, 1.0, {})))["tenants"]
        assert sum(tenant["share"] for tenant in found.values()) == 1.0


@FIXED
@given(st.lists(st.tuples(st.text(max_size=20), st.text(max_size=20)), min_size=1, max_size=20))
def test_any_tenant_names_make_a_valid_file(rows: list[tuple[str, str]]) -> None:
    tomllib.loads("\n".join(operator_lines(make_account(*rows), 5, 1.0, {})))
