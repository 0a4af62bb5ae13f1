"""Adoption of groups by the epochs in their names."""

from __future__ import annotations

import pytest

from marlstep.cluster.group_identity import GroupChange, GroupIdentity, epoch_of


@pytest.mark.parametrize(
    ("known", "observed", "change", "after"),
    [
        ("", "", GroupChange.UNCHANGED, ""),
        ("1.aa", "", GroupChange.UNCHANGED, "1.aa"),
        ("1.aa", "1.aa", GroupChange.UNCHANGED, "1.aa"),
        ("", "1.aa", GroupChange.ADOPTED, "1.aa"),
        ("1.aa", "1.bb", GroupChange.CONFLICT, "1.aa"),
        ("2.aa", "1.bb", GroupChange.OUTDATED, "2.aa"),
        ("1.aa", "2.bb", GroupChange.REPLACED, "2.bb"),
        ("9.aa", "10.bb", GroupChange.REPLACED, "10.bb"),
    ],
)
def test_a_group_is_adopted_only_if_its_epoch_is_later(
    known: str, observed: str, change: GroupChange, after: str
) -> None:
    group = GroupIdentity(known)
    assert group.observe(observed) is change
    assert group.name == after


def test_a_name_without_a_number_has_epoch_zero() -> None:
    assert epoch_of("") == epoch_of("x.1") == 0
    assert epoch_of("12.ab") == 12
