"""Tests of `[admin]` in the operator's file."""

from __future__ import annotations

from pathlib import Path

import pytest

from marlstep.config import ConfigError, check
from tests.support.node import raw_config

TOKEN = "0123456789abcdef"


def test_the_token_is_read_from_its_file_and_must_be_long_enough(tmp_path: Path) -> None:
    path = tmp_path / "token"
    path.write_text("short")
    section = {"admin": {"listen": "127.0.0.1:0", "token_file": str(path)}}
    with pytest.raises(ConfigError, match="at least 16"):
        check(raw_config(), section)
    path.write_text(TOKEN + "\n")
    config = check(raw_config(), section)
    assert config.admin is not None and config.admin.token == TOKEN
