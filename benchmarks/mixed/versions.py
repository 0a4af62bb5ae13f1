"""One version of the program under test: its checkout and how to run its commands."""

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
PROGRAM_FOLDERS = ("marlstep", "petrelcart")  # petrelcart in older versions only


@dataclass(slots=True, frozen=True)
class Version:
    """One version of the program, which is run from its own checkout.

    Attributes:
        label: `old` or `new`.
        checkout: The absolute path of the checkout.
        commit: The commit that is checked out.
        modified: Whether files of the program differ from the commit.
    """

    label: str
    checkout: Path
    commit: str
    modified: bool

    def environment(self, extra: Mapping[str, str] | None = None) -> dict[str, str]:
        """Return the environment for a process of this version, with only its checkout on the import path."""
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        return {**inherited, "PYTHONPATH": str(self.checkout), **(extra or {})}

    def command(self, *arguments: str) -> list[str]:
        """Return the command line of the program, run by the current interpreter."""
        return [sys.executable, "-m", PROGRAM, *arguments]

    async def run(self, *arguments: str) -> str:
        """Run a command of the program and return its standard output.

        Raises:
            StillRunningError: The command did not exit in time.
            ExitCodeError: The command exited with a code other than 0.
        """
        return await run_program(self.command(*arguments), self.checkout, self.environment())

    def describe(self) -> dict[str, object]:
        """Return the description of this version for the report."""
        return {"commit": self.commit, "modified": self.modified}


async def run_program(arguments: Sequence[str], folder: Path, environment: Mapping[str, str]) -> str:
    """Run a program and return its standard output.

    Raises:
        StillRunningError: The program did not exit in time.
        ExitCodeError: The program exited with a code other than 0.
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
    """Check that the program can be run from a checkout and is imported from there.

    Args:
        label: `old` or `new`.
        checkout: The absolute path of the checkout.

    Raises:
        CannotRunError: The folder is missing or no checkout, or the program is imported from elsewhere.
    """
    if not await asyncio.to_thread(checkout.is_dir):
        raise CannotRunError(label, f"expected a folder: {checkout}")
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
        raise CannotRunError(
            label, f"expected the program to be imported from its checkout, got {package.strip()}"
        )
    return Version(label, checkout, commit.strip(), bool(changes.strip()))
