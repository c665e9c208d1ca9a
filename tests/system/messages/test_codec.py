"""Encoding and decoding of messages: long ones are deflated, unreadable bytes are rejected."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ambershift.system.messages import codec
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse
from ambershift.system.messages.items import ROUTE, Item
from ambershift.system.messages.proxy_link import Barrier, ItemUpdate


def routes(count: int) -> ItemUpdate:
    body = b'{"Host":"books.example","PathPrefix":"/%d/","RouteType":"idempotent","TimeoutMs":1500}'
    return ItemUpdate(tuple(Item(ROUTE, f"r-{at}", (at, ""), body % at) for at in range(count)), True)


@given(st.integers(0, 300))
def test_message_of_any_length_decodes_to_itself(count: int) -> None:
    message = routes(count)
    data = codec.encode(message)
    assert codec.decode(data) == message and codec.encode(message) == data
    assert data[0] == codec.ZLIB_FIRST_BYTE or len(data) < codec.DEFLATE_MIN_BYTES
    assert count < 50 or len(data) < 25 * count
    assert codec.encode(Barrier(count))[0] != codec.ZLIB_FIRST_BYTE


@given(
    st.integers(0, 1 << 63),
    st.sampled_from(("locks.initiate", "cells.replace", "watch", "")),
    st.text(max_size=40),
    st.binary(max_size=2000),
    st.integers(0, 1 << 31),
)
def test_forwarded_call_decodes_to_itself_and_is_never_longer_than_plain(
    number: int, name: str, of: str, body: bytes, left: int
) -> None:
    for message in (ForwardedCall(number, name, of, body, left), ForwardedResponse(number, 200, body)):
        data = codec.encode(message)
        assert codec.decode(data) == message and len(data) <= len(msgspec.msgpack.encode(message))
    told = b'{"Events":[{"Name":"g1.2d","Value":"5c0e7a21d94b36f8","Revision":931}],"Revision":934}'
    assert len(codec.encode(ForwardedResponse(number, 200, told))) < 60


def test_decode_rejects_what_does_not_inflate_to_a_message(monkeypatch: pytest.MonkeyPatch) -> None:
    data = codec.encode(routes(100))
    flipped = bytes([*data[:40], data[40] ^ 0x55, *data[41:]])
    short = codec.encode(ForwardedResponse(1, 200, b'{"Events":[],"Revision":934}'))
    assert short[0] == codec.DICTIONARY_FIRST_BYTE
    for bad in (
        short[:-3],
        short[:1],
        b"\xc1\xff\xff",
        data[:-1],
        data[:1],
        flipped,
        zlib.compress(b"no message" * 200),
        b"",
    ):
        with pytest.raises(codec.UnreadableError):
            codec.decode(bad)
    monkeypatch.setattr(codec, "MAX_MESSAGE_BYTES", 4000)
    with pytest.raises(codec.UnreadableError, match="too large"):
        codec.decode(data)
