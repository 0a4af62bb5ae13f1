"""Tests of reading compressed parts of a trace."""

from __future__ import annotations

import gzip
from pathlib import Path

import pytest
import zstandard

from examples.traces.make import make
from marlstep.traces.reading import Reading
from tests.traces.support import ROW_2011, check_account, format_of, read
from tests.traces.test_formats import EXPECTED


def compress_part(data: bytes, compression: str) -> bytes:
    return gzip.compress(data) if compression == "gzip" else zstandard.compress(data)


@pytest.mark.parametrize("compression", ["gzip", "zstd"])
def test_compression_is_detected_from_the_content_whatever_the_name(tmp_path: Path, compression: str) -> None:
    content = make("google-2011")
    middle = content.index(b"\n", len(content) // 2) + 1
    path = tmp_path / "trace.csv"  # the name does not indicate the compression
    path.write_bytes(
        compress_part(content[:middle], compression) + compress_part(content[middle:], compression)
    )  # two members, as if joined by cat
    reading, rows, rejects = read(path)
    check_account(reading, rows, rejects)
    assert (reading.account.rows, reading.account.bad, 1, len(rows)) == EXPECTED["google-2011"]


@pytest.mark.parametrize("compression", ["gzip", "zstd"])
def test_a_truncated_or_corrupt_stream_is_one_reject_after_the_complete_rows(
    tmp_path: Path, compression: str
) -> None:
    lines = [ROW_2011.format(time=600 + number, index=number) for number in range(2000)]
    data = compress_part("\n".join(lines).encode(), compression)
    path = tmp_path / "trace.csv"
    for size in (5, len(data) // 3, len(data) - 5, len(data) - 1):
        path.write_bytes(data[:size])
        reading, rows, rejects = read(path)
        check_account(reading, rows, rejects)
        assert [reject.reason.value for reject in rejects] == ["truncated"]
    path.write_bytes(data[: len(data) // 2] + bytes(60) + data[len(data) // 2 + 60 :])
    reading, rows, rejects = read(path)
    check_account(reading, rows, rejects)
    assert rejects and rejects[-1].reason.value in ("corrupt", "truncated")


def test_a_decompression_bomb_is_unpacked_in_bounded_pieces(tmp_path: Path) -> None:
    # Guards against memory use that grows with the decompressed size of a small file.
    path = tmp_path / "bomb"
    path.write_bytes(gzip.compress(bytes(50_000_000)))
    sizes: list[int] = []
    reading = Reading(format_of("google-2011"), [str(path)], on_progress=sizes.append)
    assert list(reading.batches()) == [] and max(sizes) <= 256 * 1024
    assert dict(reading.account.bad_by_reason) == {"line-too-long": 1}
