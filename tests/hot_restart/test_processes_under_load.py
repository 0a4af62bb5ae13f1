"""Two real processes of the program on one passed socket under load: one takes over, or is killed."""

from __future__ import annotations

import signal
from itertools import pairwise
from pathlib import Path

import pytest

from marlstep.units import MILLISECOND, SECOND
from tests.support.restart_processes import SENDERS, Site, now, on


def test_a_new_version_takes_over_and_no_request_is_lost(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        old = await site.new()

        async def upgrade() -> None:
            for _ in range(2):
                one = site.programs[-1]
                new = await site.new()
                await site.more(30)  # both serve
                assert await one.call("POST", "/admin/quiesce") == 200
                await new.comes_to("quiesced")
                assert await one.call("POST", "/admin/resume") == 200
                await new.comes_to("serving")
                await site.more(SENDERS)  # what was reported until here has been read
                seen, began = len(site.reports), now()
                assert await one.end(signal.SIGTERM) == 0
                assert now() - began < 3700 * MILLISECOND
                await site.more(SENDERS)
                assert b"renew n1 no" not in [data for _, data in site.reports[seen:]]  # nor at its end

        await site.under_load(upgrade)
        came = site.check()
        # error: a name that another had sent before; later: refused at once, as a busy machine does to some
        assert set(came) <= {"done", "error", "later"} and came["later"] <= sum(came.values()) / 50, came
        assert old.process.returncode == 0
        gaps = [later[0] - sooner[0] for sooner, later in pairwise(site.reports)]
        assert max(gaps) < 3 * SECOND and site.reports[-1][1] == b"renew n1 yes"
        assert len(list((tmp_path / "tmp").iterdir())) == 1  # the name of the one that lives

    on(tmp_path, run)


@pytest.mark.parametrize("victim", [0, 1])
def test_whichever_process_is_killed_the_other_goes_on_and_nothing_runs_twice(
    tmp_path: Path, victim: int
) -> None:
    async def run(site: Site) -> None:
        await site.new()

        async def killed() -> None:
            await site.new()
            await site.more(30)
            await site.programs[victim].end(signal.SIGKILL)
            await site.more(60)

        await site.under_load(killed)
        assert site.check()["done"] > 60
        stays = site.programs[1 - victim]
        assert await stays.call("GET", "/admin/health") == 200
        began = now()
        assert await stays.end(signal.SIGTERM) == 0
        assert now() - began > 2.4 * SECOND  # there is no successor: it is the notice to leave

    on(tmp_path, run)


def test_a_process_whose_elder_was_killed_is_followed_by_a_third_and_leaves_at_once(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.new()

        async def act() -> None:
            second = await site.new()
            await site.more(30)
            await site.programs[0].end(signal.SIGKILL)
            await site.more(30)  # of these named work is refused: it may have run
            await site.new()
            await site.more(30)
            assert await second.end(signal.SIGTERM) == 0

        await site.under_load(act)
        came = site.check()
        assert came["done"] > 60 and came["later"] > 0
        assert set(came) <= {"done", "error", "later", "closed", "reset"}

    on(tmp_path, run)


def test_a_file_of_a_killed_process_is_recognised_and_a_folder_that_can_not_be_written_stops_nothing(
    tmp_path: Path,
) -> None:
    async def run(site: Site) -> None:
        first = await site.new()
        await first.end(signal.SIGKILL)
        assert [path.name for path in (tmp_path / "tmp").iterdir()] == ["marlstep.n1.1.sock"]
        await site.new()
        assert [path.name for path in (tmp_path / "tmp").iterdir()] == ["marlstep.n1.2.sock"]
        for path in (tmp_path / "tmp").iterdir():
            path.unlink()
        (tmp_path / "tmp").rmdir()
        await site.new()

    on(tmp_path, run)


@pytest.mark.parametrize("victim", [0, 1])
def test_a_process_that_stops_for_a_while_as_both_serve_costs_no_request(victim: int, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.new()

        async def act() -> None:
            await site.new()
            await site.more(30)
            site.programs[victim].process.send_signal(signal.SIGSTOP)
            await site.served()  # the other one goes on; what the stopped one has taken waits for it
            site.programs[victim].process.send_signal(signal.SIGCONT)
            await site.more(40)
            assert await site.programs[0].end(signal.SIGTERM) == 0

        await site.under_load(act)
        came = site.check()
        assert set(came) <= {"done", "error", "later"} and came["done"] > 40, came

    on(tmp_path, run)
