"""File identities after changes, renames and copies of a file."""

from __future__ import annotations

import os
import shutil
from pathlib import Path

from marlstep.cluster.file_identity import file_identity


def test_a_file_keeps_its_identity_when_it_is_written_or_renamed(tmp_path: Path) -> None:
    path = tmp_path / "file"
    path.write_bytes(b"first")
    identity = file_identity(path)
    path.write_bytes(b"second")
    assert file_identity(path) == identity
    path.rename(tmp_path / "renamed")
    assert file_identity(tmp_path / "renamed") == identity


def test_a_copy_has_another_identity_even_with_the_same_times(tmp_path: Path) -> None:
    path, copy = tmp_path / "file", tmp_path / "copy"
    path.write_bytes(b"body")
    identity = file_identity(path)
    shutil.copy2(path, copy)
    assert file_identity(copy) != identity
    os.replace(copy, path)  # like restoring a backup
    assert file_identity(path) != identity
