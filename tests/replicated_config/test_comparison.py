"""Comparison of two contents of a document."""

from __future__ import annotations

import pytest

from marlstep.replicated_config.comparison import differences, find_unsafe_shrinkage


def test_differences_name_the_row_and_the_value() -> None:
    before = {"classes": [{"name": "a", "aimUs": 5, "worth": 1.0}], "rules": {"x": 1}}
    after = {"classes": [{"name": "a", "aimUs": 6, "worth": 1.0}, {"name": "b"}], "list": [1]}
    lines = list(differences(before, after))
    assert "classes.a.aimUs 5 is now 6" in lines and any("classes.b is new" in line for line in lines)
    assert any(line.startswith("rules is gone") for line in lines)
    assert list(differences({"p": ["a", "b"]}, {"p": ["b", "c"]})) == ['p: 1 come (["c"]), 1 go (["a"])']


@pytest.mark.parametrize(
    ("before", "after", "text"),
    [
        ('{"p":["a","b"]}', '{"p":["a"]}', None),
        ('{"p":["a"]}', '{"p":["a"],"q":[]}', None),
        ('{"p":[]}', '{"p":[]}', "pool p would be empty"),
        ('{"p":["a"],"q":["b"]}', '{"p":["a"]}', "pool q would be empty"),
        ('{"p":["a","b","c"]}', '{"p":["a","x","y"]}', "pool p would lose 2 of 3 servers"),
    ],
)
def test_a_pool_that_would_be_empty_or_lose_over_half_of_its_servers_is_described(
    before: str, after: str, text: str | None
) -> None:
    shrinkage = find_unsafe_shrinkage(before, after)
    assert (None if shrinkage is None else shrinkage.describe()) == text
