"""A version of the program under test: its checkout, and how its commands are run there."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

COMMAND_TIMEOUT_S = 15.0
SHOW_PACKAGE = "import marlstep; print(marlstep.__file__)"
PROGRAM = "marlstep"
PROGRAM_FOLDERS = ("marlstep", "petrelcart")


class CannotRun(Exception):
    """The measurement could not be made. It says nothing about the versions."""


class CheckFailed(Exception):
    """Something that two versions must do together did not happen."""


@dataclass(slots=True, frozen=True)
class Version:
    label: str  # "old" or "new"
    checkout: Path
    commit: str
    modified: bool  # files of the program differ from the commit

    def environment(self, extra: Mapping[str, str] | None = None) -> dict[str, str]:
        """What a process of this version is started with: only this checkout is on its path."""
        kept = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        return {**kept, "PYTHONPATH": str(self.checkout), **(extra or {})}

    def command(self, *arguments: str) -> list[str]:
        """The command line of the program, by the interpreter that runs this measurement."""
        return [sys.executable, "-m", PROGRAM, *arguments]

    async def run(self, *arguments: str) -> str:
        """One command of the program to its end; its standard output. Raises CheckFailed."""
        return await run_program(self.command(*arguments), self.checkout, self.environment())

    def describe(self) -> dict[str, object]:
        return {"commit": self.commit, "modified": self.modified}


async def run_program(arguments: Sequence[str], folder: Path, environment: Mapping[str, str]) -> str:
    """Standard output of a program that ends with 0. Raises CheckFailed otherwise."""
    process = await asyncio.create_subprocess_exec(
        *arguments,
        cwd=folder,
        env=dict(environment),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        output, errors = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT_S)
    except TimeoutError:
        raise CheckFailed(f"{arguments[-1]} did not end in {COMMAND_TIMEOUT_S:.0f} s") from None
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        said = errors.decode(errors="replace").strip()[-400:]
        raise CheckFailed(f"{' '.join(arguments[1:])} ended with {process.returncode}: {said}")
    return output.decode()


async def open_version(label: str, checkout: Path) -> Version:
    """Raises CannotRun where the folder is no checkout from which the program can be started."""
    checkout = checkout.resolve()
    if not checkout.is_dir():
        raise CannotRun(f"{label}: {checkout} is no folder")
    version = Version(label, checkout, "", False)
    environment = version.environment()
    try:
        package = await run_program([sys.executable, "-c", SHOW_PACKAGE], checkout, environment)
        commit = await run_program(["git", "rev-parse", "HEAD"], checkout, environment)
        changes = await run_program(
            ["git", "status", "--porcelain", "--", *PROGRAM_FOLDERS], checkout, environment
        )
    except (CheckFailed, OSError) as fault:
        raise CannotRun(f"{label}: {fault}") from fault
    if not Path(package.strip()).is_relative_to(checkout):
        raise CannotRun(f"{label}: the program would be loaded from {package.strip()}")
    return Version(label, checkout, commit.strip(), bool(changes.strip()))
