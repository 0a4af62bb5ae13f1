"""Each function that docs/decisions.md and docs/capacity.md name exists, with a docstring where it decides."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

DOCS = Path(__file__).parents[1] / "docs"
DOTTED = re.compile(r"`(marlstep(?:\.\w+)+)(?:\(\))?`")


def named_by(page: str) -> list[str]:
    """List the dotted names of this program on a page, in their order, each once."""
    return list(dict.fromkeys(DOTTED.findall((DOCS / page).read_text("utf-8"))))


def resolve(dotted: str) -> object:
    """Find a module, or what a module or class holds under a name."""
    parts = dotted.split(".")
    for end in range(len(parts), 0, -1):
        try:
            found: object = importlib.import_module(".".join(parts[:end]))
        except ModuleNotFoundError as error:
            if error.name is None or not dotted.startswith(error.name):
                raise
            continue
        for name in parts[end:]:
            found = getattr(found, name)
        return found
    raise LookupError(dotted)


@pytest.mark.parametrize("dotted", named_by("decisions.md"))
def test_a_decision_that_the_page_names_exists_and_states_its_rule(dotted: str) -> None:
    assert resolve(dotted).__doc__


@pytest.mark.parametrize("dotted", named_by("capacity.md"))
def test_a_constant_that_the_page_names_exists(dotted: str) -> None:
    resolve(dotted)


def test_a_name_that_does_not_exist_is_noticed() -> None:
    with pytest.raises(AttributeError):
        resolve("marlstep.admission.run_queue.no_such_function")
    with pytest.raises(AttributeError):
        resolve("marlstep.no_such_module.function")
