"""The import graph has no cycles, including imports inside functions and under TYPE_CHECKING."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("marlstep",)

ImportGraph = Mapping[str, set[str]]  # module name -> names of the modules that it imports


def find_modules(root: Path) -> dict[str, Path]:
    """Return the paths of the project's modules by name. The `__init__` module has the name of its package."""
    found = {}
    for package in PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            parts = path.relative_to(root).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_names(module: str, is_package: bool, source: str) -> Iterator[str]:
    """Yield all imported names, at any depth: `a.b` for `import a.b`, `a` and `a.b` for `from a import b`."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            package = resolve_import_base(module, is_package, node)
            yield package
            yield from (f"{package}.{alias.name}" for alias in node.names)


def resolve_import_base(module: str, is_package: bool, node: ast.ImportFrom) -> str:
    """Return the absolute name of the module that a `from` import names."""
    if not node.level:
        return node.module or ""
    parts = module.split(".")
    base = parts[: len(parts) - node.level + is_package]
    return ".".join([*base, node.module] if node.module else base)


def parent_packages(module: str) -> set[str]:
    """Return the parent packages, which an import of the module loads first."""
    parts = module.split(".")
    return {".".join(parts[:length]) for length in range(1, len(parts))}


def import_graph(root: Path) -> dict[str, set[str]]:
    """Map each module to the modules that it imports and their parent packages, except its own parents."""
    modules = find_modules(root)
    graph = {}
    for module, path in modules.items():
        is_package = path.name == "__init__.py"
        imported = modules.keys() & set(imported_names(module, is_package, path.read_text("utf-8")))
        loaded = {package for target in imported for package in parent_packages(target)}
        graph[module] = (imported | loaded - parent_packages(module)) - {module}
    return graph


def reachable_modules(graph: ImportGraph, start: str) -> set[str]:
    """Return all modules that can be reached from a module by one or more imports."""
    found: set[str] = set()
    pending = [*graph[start]]
    while pending:
        module = pending.pop()
        if module not in found:
            found.add(module)
            pending.extend(graph[module])
    return found


def cyclic_imports(graph: ImportGraph) -> set[tuple[str, str]]:
    """Return each import, as importer and target, whose target imports the importer directly or indirectly."""
    reachable = {module: reachable_modules(graph, module) for module in graph}
    return {
        (module, target)
        for module, targets in graph.items()
        for target in targets
        if module in reachable[target]
    }


def test_imports_form_no_cycle() -> None:
    assert sorted(cyclic_imports(import_graph(ROOT))) == []


def write_project(root: Path, sources: Mapping[str, str]) -> Path:
    """Write the files of a project, and an empty `__init__.py` for each package that has none. Returns its root."""
    for name, source in sources.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source)
    for folder in package_folders(root, sources):
        (folder / "__init__.py").touch()
    return root


def package_folders(root: Path, names: Iterable[str]) -> set[Path]:
    """Return the folders of the files and all their parent folders below the root."""
    return {root / above for name in names for above in Path(name).parents if above != Path(".")}


@pytest.mark.parametrize(
    "import_back",
    [
        "import marlstep.a",
        "from marlstep import a",
        "from marlstep.a import thing",
        "from . import a",
        "from .a import thing",
        "def later() -> None:\n    from marlstep.a import thing",
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from marlstep.a import thing",
    ],
)
def test_every_form_of_import_is_found_in_a_cycle(tmp_path: Path, import_back: str) -> None:
    root = write_project(
        tmp_path, {"marlstep/a.py": "from marlstep.b import thing", "marlstep/b.py": import_back}
    )
    assert cyclic_imports(import_graph(root)) == {("marlstep.a", "marlstep.b"), ("marlstep.b", "marlstep.a")}


def test_a_cycle_through_a_package_and_over_three_modules_is_found(tmp_path: Path) -> None:
    sources = {
        "marlstep/a.py": "import marlstep.inner.b",
        "marlstep/inner/__init__.py": "from marlstep.c import thing",
        "marlstep/inner/b.py": "",
        "marlstep/c.py": "from marlstep.a import thing",
    }
    assert cyclic_imports(import_graph(write_project(tmp_path, sources))) == {
        ("marlstep.a", "marlstep.inner"),
        ("marlstep.inner", "marlstep.c"),
        ("marlstep.c", "marlstep.a"),
    }


def test_a_shared_dependency_is_not_a_cycle(tmp_path: Path) -> None:
    sources = {
        "marlstep/a.py": "from marlstep.b import thing\nimport marlstep.c",
        "marlstep/b.py": "from marlstep.c import thing",
        "marlstep/c.py": "import json",
    }
    assert cyclic_imports(import_graph(write_project(tmp_path, sources))) == set()
