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
from ambershift.system.messages.proxy_link import Barrier, ControlNodeHeartbeat, ItemUpdate


def routes(count: int) -> ItemUpdate:
    body = b'{"Host":"books.example","PathPrefix":"/%d/","RouteType":"idempotent","TimeoutMs":1500}'
    items = (Item(ROUTE, f"r-{number}", (number, ""), body % number) for number in range(count))
    return ItemUpdate(tuple(items), True)


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
    number: int, operation: str, subject_id: str, body: bytes, remaining_ms: int
) -> None:
    for message in (
        ForwardedCall(number, operation, subject_id, body, remaining_ms),
        ForwardedResponse(number, 200, body),
    ):
        data = codec.encode(message)
        assert codec.decode(data) == message and len(data) <= len(msgspec.msgpack.encode(message))
    events = b'{"Events":[{"Name":"g1.2d","Value":"5c0e7a21d94b36f8","Revision":931}],"Revision":934}'
    assert len(codec.encode(ForwardedResponse(number, 200, events))) < 60


DEFLATED = codec.encode(routes(100))
WITH_DICTIONARY = codec.encode(ForwardedResponse(1, 200, b'{"Events":[],"Revision":934}'))


def test_short_response_is_deflated_with_the_dictionary() -> None:
    assert WITH_DICTIONARY[0] == codec.DICTIONARY_FIRST_BYTE


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(WITH_DICTIONARY[:-3], id="dictionary, end cut off"),
        pytest.param(WITH_DICTIONARY[:1], id="dictionary, first byte alone"),
        pytest.param(b"\xc1\xff\xff", id="dictionary, not deflated"),
        pytest.param(DEFLATED[:-1], id="deflated, end cut off"),
        pytest.param(DEFLATED[:1], id="deflated, first byte alone"),
        pytest.param(bytes([*DEFLATED[:40], DEFLATED[40] ^ 0x55, *DEFLATED[41:]]), id="bits flipped"),
        pytest.param(zlib.compress(b"no message" * 200), id="no message inside"),
        pytest.param(b"", id="empty"),
    ],
)
def test_decode_rejects_what_does_not_inflate_to_a_message(data: bytes) -> None:
    with pytest.raises(codec.UnreadableError):
        codec.decode(data)


def test_message_above_the_size_limit_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(codec, "MAX_MESSAGE_BYTES", 4000)
    with pytest.raises(codec.UnreadableError, match="too large"):
        codec.decode(DEFLATED)


def test_heartbeat_of_an_earlier_version_is_unreadable() -> None:
    """A proxy doesn't link to a node that sends one."""
    earlier_heartbeat = msgspec.msgpack.encode(["fc", [], True, 1])
    with pytest.raises(codec.UnreadableError):
        codec.decode(earlier_heartbeat)
    present_heartbeat = msgspec.msgpack.encode(["fc", [], True, 1, 0])
    assert codec.decode(present_heartbeat) == ControlNodeHeartbeat((), True, 1, 0)
