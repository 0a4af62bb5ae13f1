"""What the readers of the module were promised about its size and its place."""

import ast
from pathlib import Path

POLICY = Path(__file__).parent.parent / "petrelcart" / "policy.py"


def test_the_module_holds_at_most_500_lines_of_110_characters() -> None:
    lines = POLICY.read_text().splitlines()
    assert 0 < len([line for line in lines if line.strip()]) <= 500
    assert max(map(len, lines)) <= 110


def test_the_module_names_its_interface_at_the_top() -> None:
    assert "petrelcart/interface.py" in "\n".join(POLICY.read_text().splitlines()[:5])


def test_the_module_imports_nothing_that_reads_a_clock_or_does_io() -> None:
    names = set()
    for node in ast.walk(ast.parse(POLICY.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(str(node.module))
    assert names <= {
        "__future__",
        "enum",
        "heapq",
        "random",
        "math",
        "collections",
        "dataclasses",
        "petrelcart.interface",
    }
