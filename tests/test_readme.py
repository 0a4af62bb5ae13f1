"""The example in the README runs and gives the stated actions."""

import re
from pathlib import Path
from typing import Any

from marlstep.admission.actions import Preempt, Run, SetTimer

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs_and_pauses_the_lower_class() -> None:
    [code] = re.findall(r"```python\n(.*?)```", README.read_text("utf-8"), re.DOTALL)
    names: dict[str, Any] = {}
    exec(compile(code, "README.md", "exec"), names)
    assert names["first"] == [Run("a"), SetTimer(1_000_000, 1_000_000)]
    assert names["second"] == [Preempt("a"), Run("b")]
