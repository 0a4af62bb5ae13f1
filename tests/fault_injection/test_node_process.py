"""The processes of a drilled node are ended with the drill, whatever was under way."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from marlstep.fault_injection.network_links import Ports
from marlstep.fault_injection.process_cluster import NodeProcess


def test_the_process_that_an_unfinished_upgrade_replaces_is_killed_too(tmp_path: Path) -> None:
    # Guards against a node process that is left running when the drill ends during an upgrade.
    async def run() -> list[int | None]:
        ports = Ports()
        cluster: Any = SimpleNamespace(folder=tmp_path, ports=ports)
        node = NodeProcess(cluster, "n1", 1.0)
        for _ in ("predecessor", "successor"):
            node.process = await asyncio.create_subprocess_exec("sleep", "60")
            node.processes.append(node.process)
        await node.kill()
        await node.kill_all()
        node.listening.close()
        ports.close()
        return [process.returncode for process in node.processes]

    assert asyncio.run(run()) == [-signal.SIGKILL, -signal.SIGKILL]
