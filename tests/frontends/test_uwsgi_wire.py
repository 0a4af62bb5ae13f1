"""Reading of uwsgi packets from streams divided at any byte."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.frontends.uwsgi_wire import PacketReader, write_packet
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
