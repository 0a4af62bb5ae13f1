"""Discovery of the processes of one node by Unix sockets in a shared folder.

Each process listens for its successor on its own socket, `marlstep.NODE.GENERATION.sock`. The socket is bound under a
temporary name and hard-linked to its final name once it listens. Linking fails if the name exists, so only one process
can have a generation, and a socket that refuses a connection belongs to a dead process.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import re
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from marlstep.errors import MarlstepError
from marlstep.hot_restart.connection import PeerConnection

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5  # seconds to establish a connection
MAX_NAME_ATTEMPTS = 20  # generations tried: other processes may claim some of them concurrently
LISTEN_BACKLOG = 8  # connections not accepted yet
MAX_SOCKET_PATH_BYTES = 100  # of a Unix socket's path; Linux allows 107


class NoFreeGenerationError(MarlstepError, OSError):
    """All generations that were tried are in use by other processes."""

    def __init__(self, first: int, attempts: int) -> None:
        """Initialize the error with the lowest generation that was tried and the number of attempts."""
        super().__init__(f"no free generation: first={first} attempts={attempts}")


@dataclass(slots=True, frozen=True)
class PredecessorSearch:
    """The result of a search for the predecessor."""

    connection: PeerConnection | None = None
    unreachable: bool = False  # a newer process did not answer, but may be alive


class SocketDirectory:
    """The folder with the sockets of one node's processes."""

    def __init__(self, folder: Path, node: str) -> None:
        """Initialize the directory.

        Args:
            folder: the folder of the sockets; other nodes may use the same one.
            node: the node's name, part of each socket's file name.
        """
        self._folder = folder
        self._stem = "marlstep." + re.sub(r"[^\w-]", "_", node)

    def list_sockets(self) -> dict[int, Path]:
        """Return the paths of the existing sockets of this node by generation.

        Raises:
            OSError: the folder can't be read.
        """
        pattern = re.compile(re.escape(self._stem) + r"\.(\d{1,9})\.sock")
        matches = {pattern.fullmatch(path.name): path for path in self._folder.iterdir()}
        return {int(match[1]): path for match, path in matches.items() if match}

    def path_of(self, generation: int) -> Path:
        """Return the socket path of the process with the given generation."""
        return self._folder / f"{self._stem}.{generation}.sock"

    async def find_predecessor(
        self, sockets: dict[int, Path], make_connection: Callable[[], PeerConnection]
    ) -> PredecessorSearch:
        """Connect to the newest process that answers, and remove the sockets of newer processes that are dead."""
        unreachable = False
        for generation, path in sorted(sockets.items(), reverse=True):
            try:
                return PredecessorSearch(await connect(path, make_connection), unreachable)
            except ConnectionRefusedError:
                # The process is dead. Its outcomes are not treated as unknown, even if no other process has its keys:
                # keys do not outlive the last process of a node (see `key_exchange`).
                log.info("stale restart socket removed: generation=%d path=%s", generation, path)
                path.unlink(missing_ok=True)
            except FileNotFoundError:
                log.info("predecessor exited: generation=%d reason=socket_removed", generation)
            except (OSError, TimeoutError) as error:
                log.warning("predecessor did not answer: generation=%d error=%r", generation, error)
                unreachable = True
        return PredecessorSearch(None, unreachable)

    def listen(self, first_generation: int) -> tuple[socket.socket, int]:
        """Listen under the lowest free generation, starting at `first_generation`.

        Returns:
            The listening socket and its generation.

        Raises:
            NoFreeGenerationError: all generations that were tried are in use.
            OSError: the socket can't be created, bound or linked.
        """
        draft = self._folder / f"{self._stem}.{os.getpid()}.draft"
        draft.unlink(missing_ok=True)
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with short_path(draft) as path:
                listening.bind(path)
            draft.chmod(0o600)
            listening.listen(LISTEN_BACKLOG)
            generation = self._link_free_generation(draft, first_generation)
        except OSError:
            listening.close()
            raise
        finally:
            draft.unlink(missing_ok=True)
        return listening, generation

    def _link_free_generation(self, draft: Path, first_generation: int) -> int:
        for generation in range(first_generation, first_generation + MAX_NAME_ATTEMPTS):
            with contextlib.suppress(FileExistsError):
                self.path_of(generation).hardlink_to(draft)
                return generation
        raise NoFreeGenerationError(first_generation, MAX_NAME_ATTEMPTS)


async def connect(path: Path, make_connection: Callable[[], PeerConnection]) -> PeerConnection:
    """Connect to the process that listens at a path.

    Raises:
        OSError: the connection failed.
        TimeoutError: the connection was not established within `CONNECT_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    with short_path(path) as socket_path:
        connecting = loop.create_unix_connection(make_connection, socket_path)
        return (await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S))[1]


@contextlib.contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Yield the path or, if it is too long for a Unix socket, an equivalent one through a descriptor of its folder."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
