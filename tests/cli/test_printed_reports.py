"""Reports, messages of invalid command lines, and exit codes match the golden files."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.cli.surface import REPORTS, read_golden


@pytest.mark.parametrize("name", REPORTS)
def test_output_and_exit_codes_match_the_golden_file(name: str, tmp_path: Path) -> None:
    assert REPORTS[name](tmp_path) == read_golden(f"{name}.json")
