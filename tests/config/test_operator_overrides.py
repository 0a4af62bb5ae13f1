"""Tests of the operator's tenants, priority weights and `[admin]`: errors name the key of the invalid value."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.config import ConfigError, check
from tests.support.node import raw_config


@pytest.mark.parametrize(
    ("operator", "message"),
    [
        ({"tenants": {"a": {"share": 2, "allowance_per_s": 1}}}, "tenants.a.share must be"),
        ({"tenants": {"a": {"share": 0.5}}}, "tenants.a.allowance_per_s is missing"),
        ({"tenants": {name: {"share": 0.6, "allowance_per_s": 1} for name in "ab"}}, "tenants: their shares"),
        ({"classes": {"none": {"worth": 1}}}, "classes.none must be one of"),
        ({"admin": {"listen": "10.0.0.1:1", "token_file": "x"}}, "admin.listen must be a loopback"),
        ({"admin": {"listen": "127.0.0.1:1", "token_file": "/no-such"}}, "admin.token_file"),
        ({"colour": 1}, "^colour is not known"),
    ],
)
def test_an_error_in_the_operators_file_names_its_key(operator: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        check(raw_config(), operator)
