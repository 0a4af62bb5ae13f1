"""What all cases share: the record, the node's process, its configuration, free ports and the verdict."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_RUN_S = 115.0
READY_WITHIN_S = 20.0


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


class NodeEndedError(CannotRunError):
    """The node ended by itself, or did not accept connections."""

    def __init__(self, log: str) -> None:
        """`log` is what the node has logged."""
        super().__init__(f"the node does not serve, its log: {log}")


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in the folder of the case."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.line("run", f"trouble={'yes' if TROUBLE else 'no'}")

    def line(self, kind: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:9.4f} {kind} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.line("check", text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)


def deployed_config(listen: int, kernel: int, database: int) -> dict[str, Any]:
    """Return the configuration that the project ships, with these ports and without a name service."""
    config: dict[str, Any] = json.loads((ROOT / "deploy" / "node.json").read_text("utf-8"))
    ports = {"listen": listen, "kernel": kernel, "db": database, "mgmt": free_port()}
    del config["naming"]
    return config | {key: f"127.0.0.1:{port}" for key, port in ports.items()}


def with_keyed_class(config: dict[str, Any], window_us: int) -> None:
    """Put a class like `depot` of voute-mtl in the place of setpoint-cmd: deduplicated, with its times."""
    row = config["settings"]["classes"][2]
    row |= {"name": "depot", "semantics": "deduplicated", "aimUs": 2_100_000, "hardLimitUs": 7_800_000}
    row |= {"repeatWindowUs": window_us}
    config["settings"]["familyInfo"] |= {"keyKb": 46.41}


class Node:
    """One node, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], operator: str = "") -> None:
        """Prepare a node; `operator` is the text of an operator's file, empty for none."""
        self._record, self._folder = record, folder
        self.config = config
        self._config_path = folder / "config.json"
        self._operator_path = folder / "operator.toml"
        self._operator = operator
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Replace the configuration file as the platform does: beside it, then renamed."""
        beside = self._folder / "config.new"
        beside.write_text(json.dumps(self.config), "utf-8")
        beside.rename(self._config_path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))["run"]
        if self._operator:
            self._operator_path.write_text(self._operator, "utf-8")
            command += f" --operator {self._operator_path}"
        (self._folder / "tmp").mkdir(exist_ok=True)
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("PROXY_")},
            "PROXY_CONFIG": str(self._config_path),
            "TMPDIR": str(self._folder / "tmp"),
        }
        with (self._folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._record.line("node", f"started pid={self.process.pid}")

    async def ready(self, port: int) -> None:
        """Wait until the node accepts connections on a port.

        Raises:
            NodeEndedError: it ended, or did not accept in time.
        """
        give_up = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < give_up:
            if self.ended:
                break
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            await asyncio.sleep(0.05)
        raise NodeEndedError(self.log())

    def check_alive(self) -> None:
        """Check that the node still runs. Raises NodeEndedError if not."""
        if self.ended:
            raise NodeEndedError(self.log())

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def reload(self) -> None:
        """Put the changed configuration in place, and send SIGHUP."""
        self.write_config()
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)
        self._record.line("node", "SIGHUP with a new configuration")

    def tell_to_leave(self) -> None:
        """Send SIGTERM, the notice to leave."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        self._record.line("node", "SIGTERM")

    def kill(self) -> None:
        """Send SIGKILL, as the platform does `stop_ms` after the notice, unless the process has ended."""
        if not self.ended:
            assert self.process is not None
            self.process.kill()
            self._record.line("node", "SIGKILL")

    def log(self) -> str:
        """Return what the node has logged."""
        return (self._folder / "node.log").read_text("utf-8", "replace")

    def end(self) -> None:
        """End the process and all that it started."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()
        for line in self.log().splitlines()[-400:]:
            self._record.line("nodelog", line)


Case = Callable[[Record, Path], Awaitable[bool]]


def run_case(case_folder: Path, case: Case) -> None:
    """Run a case, and exit with its verdict: the case returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends the node on the way out
    record = Record(case_folder)
    folder = Path(tempfile.mkdtemp(prefix="marlstep-review-"))
    code = COULD_NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(case(record, folder), LONGEST_RUN_S))
        code = HELD if held else BROKEN
        record.say("HELD" if held else "BROKEN")
    except Exception as error:  # noqa: BLE001 - whatever went wrong here says nothing about the rule
        record.say(f"COULD NOT RUN: {error!r}")
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
