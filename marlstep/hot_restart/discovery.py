"""Where the processes of one node find each other: Unix sockets in their common folder.

Each process has one of its own, `marlstep.NODE.GENERATION.sock`, for its successor. It gets this name by a hard link
once it listens: so a name is taken by one process only, and a socket that refuses a connection is of a dead process.
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

CONNECT_TIMEOUT_S = 0.5  # seconds for a connection to stand
MAX_NAME_ATTEMPTS = 20  # names tried: other processes may take a generation meanwhile
LISTEN_BACKLOG = 8  # connections that wait to be accepted
MAX_SOCKET_PATH_BYTES = 100  # of a Unix socket's path; Linux takes 107


class NoFreeGenerationError(MarlstepError, OSError):
    """Other processes hold every name that was tried."""

    def __init__(self, first: int, attempts: int) -> None:
        """`first` is the lowest generation that was tried."""
        super().__init__(f"no free generation: first={first} attempts={attempts}")


@dataclass(slots=True, frozen=True)
class PredecessorSearch:
    """What a search for the predecessor found."""

    connection: PeerConnection | None = None
    unreachable: bool = False  # a newer process listens, and may live, but did not answer


class SocketDirectory:
    """The sockets of one node's processes."""

    def __init__(self, folder: Path, node: str) -> None:
        """`node` is the node's name; other nodes may use the same folder."""
        self._folder = folder
        self._stem = "marlstep." + re.sub(r"[^\w-]", "_", node)

    def list_sockets(self) -> dict[int, Path]:
        """Return the sockets that are there, by generation. Raises OSError."""
        pattern = re.compile(re.escape(self._stem) + r"\.(\d{1,9})\.sock")
        matches = {pattern.fullmatch(path.name): path for path in self._folder.iterdir()}
        return {int(match[1]): path for match, path in matches.items() if match}

    def path_of(self, generation: int) -> Path:
        """Return where the process of that generation listens."""
        return self._folder / f"{self._stem}.{generation}.sock"

    async def find_predecessor(
        self, sockets: dict[int, Path], make_connection: Callable[[], PeerConnection]
    ) -> PredecessorSearch:
        """Connect to the newest process that answers, and remove the sockets of dead ones that are newer."""
        unreachable = False
        for generation, path in sorted(sockets.items(), reverse=True):
            try:
                return PredecessorSearch(await connect(path, make_connection), unreachable)
            except ConnectionRefusedError:
                # Its process is dead. No outcome counts as unknown here, though no other process may have its keys:
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
        """Listen under the lowest free generation from `first_generation` on. Raises OSError."""
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
    """Connect to a process of this node. Raises OSError, or TimeoutError after `CONNECT_TIMEOUT_S`."""
    loop = asyncio.get_running_loop()
    with short_path(path) as socket_path:
        connecting = loop.create_unix_connection(make_connection, socket_path)
        return (await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S))[1]


@contextlib.contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Give the path or, where it is too long for a Unix socket, one through a descriptor of its folder."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
