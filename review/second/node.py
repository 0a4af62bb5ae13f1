"""Starts nodes with the `run` command of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
import urllib.error
import urllib.request
from collections.abc import Iterable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PASSED_DESCRIPTOR = 3
READY_S = 30.0  # a node that takes longer can't be judged


def _pass_on(descriptor: int) -> None:
    """Make a socket descriptor 3 of the process that is about to start."""
    os.dup2(descriptor, PASSED_DESCRIPTOR)


class CannotRunError(Exception):
    """The case could not be played: exit code 2."""

    def __init__(self, label: str, log: str) -> None:
        """Create the error of a process that was not ready in time, with the end of its log."""
        super().__init__(f"{label} was not ready: {log}")


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


def configuration(name: str, kernel: str, database: str, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the configuration of `deploy/node.json` with addresses of this play and changed keys."""
    config: dict[str, Any] = json.loads((ROOT / "deploy" / "node.json").read_text(encoding="utf-8"))
    config |= {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "mgmt": f"127.0.0.1:{free_port()}",
        "naming": f"127.0.0.1:{free_port()}",
        "kernel": kernel,
        "db": database,
        **changes,
    }
    return config


class Node:
    """A process of a node."""

    def __init__(self, config: dict[str, Any], folder: Path, label: str = "") -> None:
        """Create a process that does not run; its files are in `folder`, which is its `TMPDIR` as well."""
        self.config, self._folder = config, folder
        self.label = label or str(config["name"])
        self.config_path = folder / f"{self.label}.json"
        self.log_path = folder / f"{self.label}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def listen(self) -> str:
        """The address for front ends."""
        return str(self.config["listen"])

    def write_config(self) -> None:
        """Write the configuration beside the file in force, and put it in its place."""
        draft = self.config_path.with_suffix(".draft")
        draft.write_text(json.dumps(self.config), encoding="utf-8")
        draft.replace(self.config_path)

    def start(self, passed_socket: socket.socket | None = None, operator: Path | None = None) -> None:
        """Start the process, from the root, by a shell."""
        self.write_config()
        environ = {**os.environ, "PROXY_CONFIG": str(self.config_path), "TMPDIR": str(self._folder)}
        for variable in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_MGMT", "PROXY_PASSED_SOCKET"):
            environ.pop(variable, None)
        command = run_command() + (f" --operator {operator}" if operator is not None else "")
        if passed_socket is not None:
            environ["PROXY_PASSED_SOCKET"] = str(PASSED_DESCRIPTOR)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                pass_fds=() if passed_socket is None else (PASSED_DESCRIPTOR,),
                preexec_fn=None if passed_socket is None else partial(_pass_on, passed_socket.fileno()),
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return None if self._process is None else self._process.poll()

    async def call(self, method: str, path: str) -> int:
        """Call the operators' address; return the status, 0 if there is no answer."""
        return await asyncio.to_thread(self._call, method, path)

    def _call(self, method: str, path: str) -> int:
        request = urllib.request.Request(f"http://{self.config['mgmt']}{path}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=2.0) as response:
                return int(response.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    async def answers_health(self, wanted: Iterable[int] = (200,)) -> None:
        """Wait until the operators' address answers with one of these. Raises CannotRunError after `READY_S`."""
        for _ in range(int(READY_S / 0.1)):
            if await self.call("GET", "/admin/health") in wanted:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(self.label, self.log_tail())

    def log_tail(self) -> str:
        """Return the end of the log."""
        return (
            self.log_path.read_text(encoding="utf-8", errors="replace")[-600:]
            if self.log_path.exists()
            else ""
        )

    def end(self) -> None:
        """End the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


@contextlib.contextmanager
def folder() -> Iterator[Path]:
    """Yield a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        yield Path(name)
