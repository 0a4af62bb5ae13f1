"""Discovery of the processes of a node: socket names, and which sockets belong to living processes."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from typing import Any

import pytest
import uvloop

from marlstep.hot_restart.connection import PeerConnection, PeerRole
from marlstep.hot_restart.discovery import (
    MAX_NAME_ATTEMPTS,
    MAX_SOCKET_PATH_BYTES,
    NoFreeGenerationError,
    PredecessorSearch,
    SocketDirectory,
    short_path,
)


class IgnoringHandler:
    """A ConnectionHandler that ignores all events."""

    def message_received(self, *_: Any) -> None:
        pass

    def unknown_process_connected(self, *_: Any) -> None:
        pass

    def connection_lost(self, *_: Any) -> None:
        pass


def make_connection() -> PeerConnection:
    return PeerConnection(IgnoringHandler(), PeerRole.PREDECESSOR)


def search(directory: SocketDirectory, sockets: dict[int, Path]) -> PredecessorSearch:
    async def run() -> PredecessorSearch:
        found = await directory.find_predecessor(sockets, make_connection)
        if found.connection is not None:
            found.connection.close()
        return found

    return uvloop.run(run())


def create_dead_socket(path: Path) -> None:
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(str(path))


def test_only_sockets_of_the_same_node_are_listed(tmp_path: Path) -> None:
    names = [
        "marlstep.n_1.1.sock",
        "marlstep.n_1.12.sock",
        "marlstep.n2.1.sock",
        "marlstep.n_1.x.sock",
        "other",
    ]
    for name in names:
        (tmp_path / name).touch()
    directory = SocketDirectory(tmp_path, "n/1")  # a character that is not valid in a file name is replaced
    assert directory.list_sockets() == {1: tmp_path / names[0], 12: tmp_path / names[1]}


def test_a_process_takes_the_lowest_free_generation_and_leaves_no_draft(tmp_path: Path) -> None:
    directory = SocketDirectory(tmp_path, "n1")
    for taken in (3, 4):
        directory.path_of(taken).touch()
    listening, generation = directory.listen(3)
    listening.close()
    assert generation == 5 and sorted(directory.list_sockets()) == [3, 4, 5]
    assert len(os.listdir(tmp_path)) == 3


def test_a_process_that_finds_no_free_generation_gives_up_with_the_names_it_tried(tmp_path: Path) -> None:
    directory = SocketDirectory(tmp_path, "n1")
    for taken in range(7, 7 + MAX_NAME_ATTEMPTS):
        directory.path_of(taken).touch()
    with pytest.raises(NoFreeGenerationError, match=f"first=7 attempts={MAX_NAME_ATTEMPTS}"):
        directory.listen(7)
    assert len(os.listdir(tmp_path)) == MAX_NAME_ATTEMPTS


def test_the_newest_process_that_answers_is_the_predecessor_and_newer_dead_sockets_are_removed(
    tmp_path: Path,
) -> None:
    directory = SocketDirectory(tmp_path, "n1")
    older, _ = directory.listen(1)
    newer, _ = directory.listen(2)
    create_dead_socket(directory.path_of(3))
    with older, newer:
        found = search(directory, directory.list_sockets())
        accepted, _ = newer.accept()
        accepted.close()
        with pytest.raises(BlockingIOError):
            older.accept()
    assert found.connection is not None and not found.unreachable
    assert sorted(directory.list_sockets()) == [1, 2]


def test_a_socket_that_is_removed_meanwhile_is_of_a_process_that_ended_and_not_unreachable(
    tmp_path: Path,
) -> None:
    directory = SocketDirectory(tmp_path, "n1")
    found = search(directory, {1: directory.path_of(1)})
    assert found.connection is None and not found.unreachable


def test_an_unreachable_newer_process_is_reported_beside_the_older_one_that_answers(tmp_path: Path) -> None:
    directory = SocketDirectory(tmp_path, "n1")
    older, _ = directory.listen(1)
    loop_path = directory.path_of(2)
    loop_path.symlink_to(loop_path)  # connecting fails, but neither as refused nor as not found
    with older:
        found = search(directory, directory.list_sockets())
    assert found.connection is not None and found.unreachable


@pytest.mark.parametrize("folder_name", ["f", "f" * 2 * MAX_SOCKET_PATH_BYTES])
def test_a_socket_can_be_used_whatever_the_length_of_its_path(folder_name: str, tmp_path: Path) -> None:
    folder = tmp_path / folder_name
    folder.mkdir()
    path = folder / "marlstep.n1.1.sock"
    with socket.socket(socket.AF_UNIX) as listening, short_path(path) as name:
        assert len(os.fsencode(name)) <= MAX_SOCKET_PATH_BYTES
        listening.bind(name)
        assert path.exists()
