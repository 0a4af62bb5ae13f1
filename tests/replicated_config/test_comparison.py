"""Comparison of two contents of a document."""

from __future__ import annotations

from marlstep.replicated_config.comparison import differences


def test_differences_name_the_row_and_the_value() -> None:
    before = {"classes": [{"name": "a", "aimUs": 5, "worth": 1.0}], "rules": {"x": 1}}
    after = {"classes": [{"name": "a", "aimUs": 6, "worth": 1.0}, {"name": "b"}], "list": [1]}
    lines = list(differences(before, after))
    assert "classes.a.aimUs 5 is now 6" in lines and any("classes.b is new" in line for line in lines)
    assert any(line.startswith("rules is gone") for line in lines)
    assert list(differences({"p": ["a", "b"]}, {"p": ["b", "c"]})) == ['p: 1 come (["c"]), 1 go (["a"])']
