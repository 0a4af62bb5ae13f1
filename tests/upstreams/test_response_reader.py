"""Tests of reading one response: when it is complete, and when it is invalid."""

from __future__ import annotations

import pytest

from marlstep.upstreams.errors import (
    AttemptError,
    InvalidResponseError,
    MalformedResponseError,
    ResponseTooLargeError,
    TruncatedResponseError,
)
from marlstep.upstreams.response_reader import MAX_BOOT_ID_LENGTH, ResponseReader

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
WITHOUT_LENGTH = b"HTTP/1.0 200 OK\r\n\r\nok"


def make_reader(limit_bytes: int = 4096) -> ResponseReader:
    """Return a reader with the default boot id header."""
    return ResponseReader(limit_bytes, b"x-boot-id")


def is_get() -> bool:
    """Return whether the request is a HEAD request: no."""
    return False


def is_head() -> bool:
    """Return whether the request is a HEAD request: yes."""
    return True


def test_a_response_with_a_length_is_complete_with_its_last_byte() -> None:
    reader = make_reader()
    for index in range(len(WITH_LENGTH)):
        assert not reader.is_complete
        reader.feed(WITH_LENGTH[index : index + 1])
    assert reader.is_complete and reader.status == 200 and bytes(reader.data) == WITH_LENGTH
    reader.feed_eof(is_get)  # has no effect on a complete response


def test_a_chunked_response_is_complete_with_its_last_chunk() -> None:
    reader = make_reader()
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
    assert not reader.is_complete
    reader.feed(b"0\r\n\r\n")
    assert reader.is_complete


def test_a_response_without_a_length_is_complete_at_the_end_of_the_stream() -> None:
    reader = make_reader()
    reader.feed(WITHOUT_LENGTH)
    assert not reader.is_complete
    reader.feed_eof(is_get)
    assert reader.is_complete


def test_an_informational_response_is_followed_by_the_final_one() -> None:
    reader = make_reader()
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert not reader.is_complete
    reader.feed(WITH_LENGTH)
    assert reader.is_complete and reader.status == 200


@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 200 OK\r\nContent-Le", WITH_LENGTH[:-1]])
def test_a_stream_that_ends_within_a_response_is_truncated(data: bytes) -> None:
    reader = make_reader()
    reader.feed(data)
    with pytest.raises(TruncatedResponseError) as caught:
        reader.feed_eof(is_get)
    assert caught.value.received_bytes == len(data) and not reader.is_complete


def test_the_response_to_a_head_request_has_no_body() -> None:
    reader = make_reader()
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
    reader.feed_eof(is_head)
    assert reader.is_complete


def test_data_that_is_not_a_response_is_malformed_and_kept() -> None:
    reader = make_reader()
    with pytest.raises(MalformedResponseError):
        reader.feed(b"junk\r\n\r\n")
    assert bytes(reader.data) == b"junk\r\n\r\n" and not reader.is_complete


def test_a_response_over_the_limit_is_too_large_even_where_it_is_complete() -> None:
    make_reader(len(WITH_LENGTH)).feed(WITH_LENGTH)
    with pytest.raises(ResponseTooLargeError) as caught:
        make_reader(len(WITH_LENGTH) - 1).feed(WITH_LENGTH)
    assert caught.value.limit_bytes == len(WITH_LENGTH) - 1


def test_the_boot_id_is_read_from_its_header_up_to_its_length() -> None:
    reader = make_reader()
    reader.feed(b"HTTP/1.1 200 OK\r\nX-BOOT-Id: " + b"a" * 99 + b"\r\nContent-Length: 0\r\n\r\n")
    assert reader.boot_id == "a" * MAX_BOOT_ID_LENGTH and make_reader().boot_id is None


def test_response_errors_share_a_base_class() -> None:
    for error in (MalformedResponseError, ResponseTooLargeError, TruncatedResponseError):
        assert issubclass(error, InvalidResponseError) and issubclass(error, AttemptError)
