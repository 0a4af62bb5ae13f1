"""A version of the program under test: its checkout, and how its commands are run there."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.mixed.errors import CannotRunError, CheckFailedError, ExitCodeError, StillRunningError

COMMAND_TIMEOUT_S = 15.0
MAX_SHOWN_ERROR_CHARACTERS = 400
SHOW_PACKAGE = "import marlstep; print(marlstep.__file__)"
PROGRAM = "marlstep"
PROGRAM_FOLDERS = ("marlstep", "petrelcart")  # the latter in older versions only


@dataclass(slots=True, frozen=True)
class Version:
    """One version of the program, run from a checkout of its own."""

    label: str  # "old" or "new"
    checkout: Path
    commit: str
    modified: bool  # files of the program differ from the commit

    def environment(self, extra: Mapping[str, str] | None = None) -> dict[str, str]:
        """Return the environment of a process of this version: only this checkout is on its path."""
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        return {**inherited, "PYTHONPATH": str(self.checkout), **(extra or {})}

    def command(self, *arguments: str) -> list[str]:
        """Return the command line of the program, by the interpreter that runs this measurement."""
        return [sys.executable, "-m", PROGRAM, *arguments]

    async def run(self, *arguments: str) -> str:
        """Run one command of the program to its end; return its standard output. Raises CheckFailedError."""
        return await run_program(self.command(*arguments), self.checkout, self.environment())

    def describe(self) -> dict[str, object]:
        """Return what the report says of this version."""
        return {"commit": self.commit, "modified": self.modified}


async def run_program(arguments: Sequence[str], folder: Path, environment: Mapping[str, str]) -> str:
    """Run a program to its end and return its standard output.

    Raises CheckFailedError where it does not end in time, or with another exit code than 0.
    """
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
        raise StillRunningError(arguments[-1], COMMAND_TIMEOUT_S) from None
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        last_errors = errors.decode(errors="replace").strip()[-MAX_SHOWN_ERROR_CHARACTERS:]
        raise ExitCodeError(" ".join(arguments[1:]), process.returncode, last_errors)
    return output.decode()


async def open_version(label: str, checkout: Path) -> Version:
    """Check that the program can be started from this folder, an absolute path, and nowhere else.

    Raises CannotRunError.
    """
    if not await asyncio.to_thread(checkout.is_dir):
        raise CannotRunError(label, f"{checkout} is no folder")
    version = Version(label, checkout, "", modified=False)
    environment = version.environment()
    try:
        package = await run_program([sys.executable, "-c", SHOW_PACKAGE], checkout, environment)
        commit = await run_program(["git", "rev-parse", "HEAD"], checkout, environment)
        changes = await run_program(
            ["git", "status", "--porcelain", "--", *PROGRAM_FOLDERS], checkout, environment
        )
    except (CheckFailedError, OSError) as error:
        raise CannotRunError(label, str(error)) from error
    if not Path(package.strip()).is_relative_to(checkout):
        raise CannotRunError(label, f"the program would be loaded from {package.strip()}")
    return Version(label, checkout, commit.strip(), bool(changes.strip()))
