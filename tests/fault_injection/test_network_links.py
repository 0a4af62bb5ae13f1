"""Network links between node processes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from marlstep.fault_injection.network_links import Link


def test_a_link_takes_another_port_where_only_half_of_one_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a drill that fails to start: the system chose a port that is free for TCP, but that another program
    # uses for UDP.
    async def opened() -> int:
        loop, made = asyncio.get_running_loop(), 0
        create = loop.create_datagram_endpoint

        async def taken_twice(*told: Any, **named: Any) -> Any:
            nonlocal made
            made += 1
            if made <= 2:
                raise OSError(98, "Address already in use")
            return await create(*told, **named)

        monkeypatch.setattr(loop, "create_datagram_endpoint", taken_twice)
        link = Link(("127.0.0.1", 1), random.Random(1))
        await link.open(0)
        assert link.port
        await link.close()
        with pytest.raises(OSError):
            made = 0
            await Link(("127.0.0.1", 1), random.Random(1)).open(link.port)
        return made

    assert asyncio.run(opened()) == 1  # an explicitly requested port is not replaced by another
