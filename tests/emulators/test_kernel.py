"""The emulated kernel on a socket: notices sent on an earlier connection are repeated on the next."""

from __future__ import annotations

import asyncio

from marlstep.emulators.site import EmulatedSite, report_sites
from marlstep.emulators.work_plan import WorkPlan


def test_notices_are_repeated_on_the_next_connection_and_an_unknown_command_closes_it() -> None:
    async def run() -> None:
        site = EmulatedSite(1, 0.05, 1_000)  # 1 ms of work takes 20 ms at speed 0.05
        await site.open()
        host, port = site.addresses["kernel"].split(":")
        body = WorkPlan(1, 1_000).to_body()
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"OPEN 0\r\nSCHED a setpoint-cmd %d\r\n%b\r\nSCHED b x 2\r\nno\r\n" % (len(body), body))
        assert (await reader.readline()).startswith(b"BOOTED hot ")
        assert await reader.readline() == b"EINVAL SCHED b\r\n"
        assert (await reader.readline()).startswith(b"REAP 1 a complete ")
        next_reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"OPEN 0\r\nSYSINFO t\r\nwhat\r\n")
        assert (await next_reader.readline()).startswith(b"BOOTED hot ")
        assert (await next_reader.readline()).startswith(b"REAP 1 a complete ")
        assert await next_reader.readline() == b"full 1\r\n"
        assert (await next_reader.readline()).startswith(b"INFO t ")
        assert await next_reader.read() == b""  # closed because of the unknown command
        assert report_sites([site], "setpoint-cmd")["runs"] == 1
        site.close()

    asyncio.run(asyncio.wait_for(run(), 10))
