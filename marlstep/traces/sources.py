"""Where traces come from: files and standard input, plain, gzip or zstd by what they hold, not by their name."""

from __future__ import annotations

import itertools
import sys
import zlib
from collections.abc import Callable, Iterator
from typing import BinaryIO

import zstandard

from marlstep.traces.rows import BadRow, Reason

CHUNK = 64 * 1024  # bytes read at once
MOST_OUT = 256 * 1024  # bytes that are decompressed at once, whatever a stream would unfold to
ZSTD_IN = 1024  # bytes fed to zstd at once: at its densest they unfold to 32 MB
ZSTD_WINDOW = 8 << 20
GZIP_MAGIC, ZSTD_MAGIC = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"


class SourceError(Exception):
    """A part that can't be opened or read, in one line that names it."""


def open_part(name: str) -> BinaryIO:
    if name == "-":
        return sys.stdin.buffer
    try:
        return open(name, "rb")
    except OSError as fault:
        raise SourceError(f"{name}: {fault.strerror}") from fault


def unpacked(stream: BinaryIO, name: str, on_raw: Callable[[bytes], None] | None = None) -> Iterator[bytes]:
    """The bytes of a part, decompressed; raises BadRow where the compressed stream is cut or spoilt."""
    chunks = _chunks(stream, name, on_raw)
    head = next(chunks, b"")
    while 0 < len(head) < len(ZSTD_MAGIC) and (more := next(chunks, b"")):  # a pipe may bring it in drops
        head += more
    rest = itertools.chain((head,) if head else (), chunks)
    if head.startswith(GZIP_MAGIC):
        return _gunzipped(rest)
    if head.startswith(ZSTD_MAGIC):
        return _unzstd(rest)
    return rest


def _chunks(stream: BinaryIO, name: str, on_raw: Callable[[bytes], None] | None) -> Iterator[bytes]:
    while True:
        try:
            chunk = stream.read(CHUNK)
        except OSError as fault:
            raise SourceError(f"{name}: {fault.strerror}") from fault
        if not chunk:
            return
        if on_raw is not None:
            on_raw(chunk)
        yield chunk


def _gunzipped(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """One gzip member after another."""
    member = zlib.decompressobj(wbits=31)
    begun = False
    for chunk in chunks:
        data = chunk
        while data:
            if member.eof:
                data = data.lstrip(b"\0")  # members may be padded
                if not data:
                    break
                member, begun = zlib.decompressobj(wbits=31), False
            begun = True
            try:
                out = member.decompress(data, MOST_OUT)
            except zlib.error as fault:
                raise BadRow(Reason.CORRUPT, text=str(fault)) from None
            if out:
                yield out
            data = member.unused_data if member.eof else member.unconsumed_tail
    while begun and not member.eof:  # what the last chunk unfolds to
        try:
            out = member.decompress(member.unconsumed_tail, MOST_OUT)
        except zlib.error as fault:
            raise BadRow(Reason.CORRUPT, text=str(fault)) from None
        if not out:
            raise BadRow(Reason.TRUNCATED, text="the gzip stream ends inside a member")
        yield out


def _unzstd(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """One zstd frame after another."""
    maker = zstandard.ZstdDecompressor(max_window_size=ZSTD_WINDOW)
    frame = maker.decompressobj()
    begun = False
    for chunk in chunks:
        for at in range(0, len(chunk), ZSTD_IN):
            data = chunk[at : at + ZSTD_IN]
            while data:
                if frame.eof:
                    frame, begun = maker.decompressobj(), False
                begun = True
                try:
                    out = frame.decompress(data)
                except zstandard.ZstdError as fault:
                    raise BadRow(Reason.CORRUPT, text=str(fault)) from None
                if out:
                    yield out
                data = frame.unused_data if frame.eof else b""
    if begun and not frame.eof:
        raise BadRow(Reason.TRUNCATED, text="the zstd stream ends inside a frame")
