"""Sources of traces: files and standard input; gzip and zstd are detected from the content, not from the name."""

from __future__ import annotations

import itertools
import sys
import zlib
from collections.abc import Callable, Iterator
from typing import BinaryIO

import zstandard

from marlstep.errors import MarlstepError
from marlstep.traces.rows import BadRowError, Reason

CHUNK_BYTES = 64 * 1024  # bytes per read
# Output of one decompression step of gzip; bounds the memory for highly compressed input.
MAX_UNPACKED_BYTES = 256 * 1024
# Input of one decompression step of zstd; at the highest compression it expands to 32 MB.
ZSTD_CHUNK_BYTES = 1024
MAX_ZSTD_WINDOW_BYTES = 8 << 20
STANDARD_INPUT = "-"
GZIP_MAGIC, ZSTD_MAGIC = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"


class SourceError(MarlstepError):
    """A part of a trace can't be opened or read.

    Attributes:
        part: Path of the part.
    """

    def __init__(self, part: str, reason: str | None) -> None:
        """Initialize the error with the path of the part and the message of the operating system."""
        super().__init__(f"{part}: {reason}")
        self.part = part


def open_part(name: str) -> BinaryIO:
    """Open a file, or standard input for `-`.

    Raises:
        SourceError: The file can't be opened.
    """
    if name == STANDARD_INPUT:
        return sys.stdin.buffer
    try:
        return open(name, "rb")
    except OSError as error:
        raise SourceError(name, error.strerror) from error


def unpack(stream: BinaryIO, name: str, on_raw: Callable[[bytes], None] | None = None) -> Iterator[bytes]:
    """Yield the decompressed bytes of a part.

    Args:
        stream: Open file of the part.
        name: Path of the part, for error messages.
        on_raw: Called with each chunk of bytes before decompression; None if not needed.

    Raises:
        BadRowError: The compressed stream is truncated or corrupt.
        SourceError: The part can't be read.
    """
    chunks = _read_chunks(stream, name, on_raw)
    start = next(chunks, b"")
    # A pipe may return fewer bytes than the magic number at once.
    while 0 < len(start) < len(ZSTD_MAGIC) and (more := next(chunks, b"")):
        start += more
    rest = itertools.chain((start,) if start else (), chunks)
    if start.startswith(GZIP_MAGIC):
        return _gunzip(rest)
    if start.startswith(ZSTD_MAGIC):
        return _unzstd(rest)
    return rest


def _read_chunks(stream: BinaryIO, name: str, on_raw: Callable[[bytes], None] | None) -> Iterator[bytes]:
    while True:
        try:
            chunk = stream.read(CHUNK_BYTES)
        except OSError as error:
            raise SourceError(name, error.strerror) from error
        if not chunk:
            return
        if on_raw is not None:
            on_raw(chunk)
        yield chunk


def _gunzip(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the decompressed bytes of all gzip members."""
    member = zlib.decompressobj(wbits=31)
    has_started = False
    for chunk in chunks:
        data = chunk
        while data:
            if member.eof:
                data = data.lstrip(b"\0")  # members may be followed by zero padding
                if not data:
                    break
                member, has_started = zlib.decompressobj(wbits=31), False
            has_started = True
            output = _decompress(member, data)
            if output:
                yield output
            data = member.unused_data if member.eof else member.unconsumed_tail
    while has_started and not member.eof:  # the rest of the output of the last chunk
        output = _decompress(member, member.unconsumed_tail)
        if not output:
            raise BadRowError(Reason.TRUNCATED, text="the gzip stream ends inside a member")
        yield output


def _decompress(member: zlib._Decompress, data: bytes) -> bytes:
    try:
        return member.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise BadRowError(Reason.CORRUPT, text=str(error)) from None


def _unzstd(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the decompressed bytes of all zstd frames."""
    decompressor = zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW_BYTES)
    frame = decompressor.decompressobj()
    has_started = False
    for chunk in chunks:
        for offset in range(0, len(chunk), ZSTD_CHUNK_BYTES):
            data = chunk[offset : offset + ZSTD_CHUNK_BYTES]
            while data:
                if frame.eof:
                    frame, has_started = decompressor.decompressobj(), False
                has_started = True
                try:
                    output = frame.decompress(data)
                except zstandard.ZstdError as error:
                    raise BadRowError(Reason.CORRUPT, text=str(error)) from None
                if output:
                    yield output
                data = frame.unused_data if frame.eof else b""
    if has_started and not frame.eof:
        raise BadRowError(Reason.TRUNCATED, text="the zstd stream ends inside a frame")
