"""Which file a path names on this disk, so that a copy of a file is never taken for the original.

An inode number alone does not tell: it is used again once its file is removed. The generation and the time of birth
differ then. Python has no call for either.
"""

from __future__ import annotations

import contextlib
import ctypes
import fcntl
import os
from pathlib import Path

FS_IOC_GETVERSION = 0x80087601  # ioctl: the inode's generation, which grows when its number is used again
GENERATION_BYTES = 4
IOCTL_ARGUMENT_BYTES = 8  # a C long

AT_FDCWD = -100
STATX_BTIME = 0x800  # bit of stx_mask: the time of birth is asked for, or was given
STATX_BYTES = 256
STX_MASK = slice(0, 4)
STX_BTIME_SECONDS = slice(80, 88)  # signed
STX_BTIME_NANOSECONDS = slice(88, 92)
NANOSECONDS_PER_SECOND = 1_000_000_000


def file_identity(path: Path) -> str:
    """The identity of an existing file: inode, generation and time of birth. Raises OSError."""
    return f"{path.stat().st_ino}:{_generation(path)}:{_birth_time(path)}"


def _generation(path: Path) -> int:
    """The inode's generation; 0 where the file system has none."""
    with path.open("rb") as file, contextlib.suppress(OSError):
        reply = fcntl.ioctl(file, FS_IOC_GETVERSION, b"\0" * IOCTL_ARGUMENT_BYTES)
        return int.from_bytes(reply[:GENERATION_BYTES], "little")
    return 0


def _birth_time(path: Path) -> int:
    """When the file was made, in nanoseconds since the epoch; 0 where the system does not say."""
    buffer = ctypes.create_string_buffer(STATX_BYTES)
    try:
        failed = ctypes.CDLL(None).statx(AT_FDCWD, os.fsencode(path), 0, STATX_BTIME, buffer)
    except (AttributeError, OSError):
        return 0
    if failed or not int.from_bytes(buffer.raw[STX_MASK], "little") & STATX_BTIME:
        return 0
    seconds = int.from_bytes(buffer.raw[STX_BTIME_SECONDS], "little", signed=True)
    nanoseconds = int.from_bytes(buffer.raw[STX_BTIME_NANOSECONDS], "little")
    return seconds * NANOSECONDS_PER_SECOND + nanoseconds
