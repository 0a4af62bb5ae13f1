"""docs/operations.md shows the same transition tables as the code."""

from __future__ import annotations

from pathlib import Path

from marlstep.hot_restart import predecessor, successor

PAGE = Path(__file__).parents[2] / "docs" / "operations.md"
HEADER = "| state | event | next state | effect |"


def tables_on_the_page() -> list[list[str]]:
    """Return the rows of each transition table, without its header."""
    _, *tables = PAGE.read_text("utf-8").split(HEADER + "\n| --- | --- | --- | --- |\n")
    return [table.partition("\n\n")[0].splitlines() for table in tables]


def test_the_page_shows_every_transition_in_the_order_of_the_code() -> None:
    rows_of_successor = [
        f"| {state.value} | {event.value} | {transition.next_state.value} | {transition.effect.value} |"
        for state, row in successor.TRANSITIONS.items()
        for event, transition in row.items()
    ]
    rows_of_predecessor = [
        f"| {state.value} | {event.value} | {transition.next_state.value} | {transition.effect.value} |"
        for state, row in predecessor.TRANSITIONS.items()
        for event, transition in row.items()
    ]
    assert tables_on_the_page() == [rows_of_successor, rows_of_predecessor]
