"""Reading and writing of the golden files of stored data and outward JSON."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "data" / "state"


def read_golden(name: str) -> Any:
    return json.loads((FOLDER / name).read_text("utf-8"))


def write_golden(name: str, value: object) -> None:
    """Write a golden file. Only `record_state` calls this."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    text = json.dumps(value, indent=1, ensure_ascii=False)
    (FOLDER / name).write_text(text + "\n", "utf-8")
