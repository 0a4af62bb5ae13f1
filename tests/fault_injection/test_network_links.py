"""Network links between node processes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from marlstep.fault_injection.network_links import Link


def test_a_link_tries_another_port_if_the_chosen_one_is_in_use_for_datagrams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a drill that fails to start: the system chose a port that is free for TCP, but that another program
    # uses for UDP.
    async def open_links() -> int:
        loop, attempts = asyncio.get_running_loop(), 0
        create_endpoint = loop.create_datagram_endpoint

        async def fail_twice(*args: Any, **kwargs: Any) -> Any:
            nonlocal attempts
            attempts += 1
            if attempts <= 2:
                raise OSError(98, "Address already in use")
            return await create_endpoint(*args, **kwargs)

        monkeypatch.setattr(loop, "create_datagram_endpoint", fail_twice)
        link = Link(("127.0.0.1", 1), random.Random(1))
        await link.open(0)
        assert link.port
        await link.close()
        with pytest.raises(OSError):
            attempts = 0
            await Link(("127.0.0.1", 1), random.Random(1)).open(link.port)
        return attempts

    assert asyncio.run(open_links()) == 1  # an explicitly requested port is not replaced by another
