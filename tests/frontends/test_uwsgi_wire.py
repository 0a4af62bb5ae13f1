"""Reading of uwsgi packets from streams divided at any byte."""

from __future__ import annotations

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from marlstep.frontends.uwsgi_wire import PacketReader, write_packet
from marlstep.net.ring import Ring
from tests.support.streams import CUTS, FIXED, pieces, read_all


@FIXED
@given(
    st.dictionaries(st.text("abcKEY_-"), st.text("abc\xe9 "), min_size=1, max_size=5),
    st.binary(max_size=50),
    CUTS,
)
def test_packets_are_reassembled_however_the_stream_is_divided(
    variables: dict[str, str], body: bytes, cuts: list[int]
) -> None:
    packet = write_packet({**variables, "CONTENT_LENGTH": str(len(body))}, body)
    first, second = read_all(PacketReader(50).next, pieces(packet * 2, cuts))
    assert first == second and first.raw == packet
    assert first.variables == {**variables, "CONTENT_LENGTH": str(len(body))}


def test_an_incomplete_packet_holds_little_more_than_its_bytes() -> None:
    # Guards against a process that outgrows its memory limit with packets of very many short variables.
    block = b"".join(b"\2\0" + number.to_bytes(2, "big") + b"\0\0" for number in range(10_000))
    head = write_packet({"CONTENT_LENGTH": "100"})
    size = len(head) - 4 + len(block)
    packet = b"\0" + size.to_bytes(2, "little") + b"\0" + head[4:] + block + b"x" * 50
    ring = Ring(1 << 17)
    ring.put(packet)
    tracemalloc.start()
    try:
        reader = PacketReader(100, lambda: {"X_CLASS"})
        before, _ = tracemalloc.get_traced_memory()
        assert reader.next(ring) is None
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before < 1.25 * len(packet)


def test_a_packet_has_the_variables_that_are_named_when_it_is_complete() -> None:
    # Guards against a request that is read by the names of variables from before a reload.
    names = {"A"}
    variables = {"A": "1", "B": "2", "CONTENT_LENGTH": "3", "C": "3"}
    packet = write_packet(variables, b"xyz")
    ring, reader = Ring(1 << 10), PacketReader(100, lambda: set(names))
    ring.put(packet[:-1])
    assert reader.next(ring) is None
    names.add("B")
    ring.put(packet[-1:])
    read = reader.next(ring)
    assert read is not None and read.variables == {"A": "1", "B": "2", "CONTENT_LENGTH": "3"}
