"""The codec against bytes worked out by hand from the field tables of the protocol's page."""

import io
import struct

import pytest

from ambershift import interface as api
from ambershift.benchlink import host, wire


def frame(*records: bytes, clock: float = 62721.0) -> bytes:
    body = b"".join(records)
    return struct.pack("<Id", 12 + len(body), clock) + body


def decode(*records: bytes) -> list[wire.Record]:
    return wire.Reader().batch(frame(*records))[1]


@pytest.mark.parametrize(
    ("text", "record"),
    [
        (
            "16 00 074a1203 0e000000 01000000 0000000000204840 0000000000408f40 01 52b81e3f",
            api.ServerReport(0, 0x03124A07, 14, 1, 48_250_000, 1_000_000_000, (0.6200000047683716,)),
        ),
        ("1c 2900", api.Left(41)),
        ("1a 4d00000000000000", api.TimerFired(77)),
        ("13 2900 00 0000d040 01", api.Joined(41, 0, 6.5, True)),
        ("19 0000000000409f40 00 00000000 2900 09000000", api.DemandReport(41, 0, 9, 0, 2_000_000_000)),
        ("17 074a1203 6400 000000000000f83f 00", api.Probed(0x03124A07, True, 1_500_000, ())),
        ("1f 0500000000000000 0000000000002440 2900", api.Applied(5, 10_000_000, 41)),
        ("1e 0300 01", api.SliceAssigned(3)),
        ("1e 0300 00", api.SliceRevoked(3)),
        ("10 01000000 0200 6869", api.PeerMessage(1, b"hi")),
        ("1b 0300 074a1203 0000803f", api.SliceRestored(3, 0x03124A07, 1.0)),
        ("18", wire.Stopped()),
        ("1d 0300 01 09000000 01000000 0000000000408f40", api.SliceLoad(3, 1, 9, 1, 1_000_000_000)),
        ("11 03 0000000000000000 00000000", api.ListFailed()),
        ("12 03000000", wire.Instance(3)),
    ],
)
def test_events(text: str, record: wire.Record) -> None:
    assert decode(bytes.fromhex(text)) == [record]


@pytest.mark.parametrize(
    ("order", "text"),
    [
        (api.SetWeight(0x75, 0x2C9011F2, 0.75), "12 7500 f211902c 0000403f"),
        (api.Bind(41, 117, 0), "16 2900 7500 0000"),
        (api.Level(117, 2, api.RetryPolicy.IF_NOT_RUN, 0.75), "15 0200 01 7500 0000403f"),
        (api.StartTimer(500_000_000, 77), "1d 0000000000407f40 4d00000000000000"),
        (api.ClearTable(117), "17 7500"),
        (api.SendToPeer(-1, b"h7 "), "10 ffff 0300 683720"),
        (api.Withdraw(7, True), "1c 01 07000000"),
        (api.Probe(7), "14 07000000"),
        (api.Watch(True), "1a 01"),
        (api.Fetch(), "13"),
        (api.Mark(5, False), "18 0500000000000000 00"),
        (api.Note("hi"), "11 0200 6869"),
    ],
)
def test_orders(order: api.Order, text: str) -> None:
    assert wire.write_order(order) == bytes.fromhex(text)


def listing(number: int, server: int) -> bytes:
    return struct.pack("<BII", 20, number, 1) + struct.pack("<IBBHBfd", server, 0, 0, 0, 1, 1.0, 0.0)


def test_list_number_used_again_within_a_batch_is_read_in_order() -> None:
    points = bytes.fromhex("11 02 0100000000000000 02000000")
    first, second = decode(listing(2, 5), points, listing(2, 6), points)
    assert (first.entries[0].server, second.entries[0].server) == (5, 6)


@pytest.mark.parametrize(
    ("records", "words"),
    [
        ([b"\x63"], "byte 12: unknown code 99"),
        ([b"\x1c\x29"], "byte 12: record of code 28 is cut short"),
        ([bytes.fromhex("10 01000000 ff00 00")], "byte 12: count of code 16 runs past"),
        ([bytes.fromhex("11 02 0000000000000000 07000000")], "byte 12: unknown list number 7"),
        ([struct.pack("<BQI", 21, 1, 2) + b"[]"], "settings: not an object"),
        ([struct.pack("<BQI", 21, 1, 2) + b"{}"], "settings: key 'classes' is missing"),
    ],
)
def test_bad_input_is_named(records: list[bytes], words: str) -> None:
    with pytest.raises(wire.WireError, match=words.replace("[", r"\[")):
        decode(*records)


def test_input_that_ends_inside_a_frame() -> None:
    sink = io.BytesIO()
    with pytest.raises(wire.WireError, match="byte 13: input ends inside a frame of 15 bytes"):
        host.serve(io.BytesIO(frame(b"\x1c\x29\x00")[:-2]), sink)
    assert not sink.getvalue()


SETTINGS = (
    b'{"classes": [{"on_time": 1, "deadline": 2, "effect": "free", "new": 0}], "zones": ["a"], '
    b'"family_info": {"egress_per_s": 100, "most_waiting": 200}, '
    b'"rules": {"stop_sending_within": 9}}'
)


def test_a_restart_in_one_batch_and_a_reported_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    started = struct.pack("<BQI", 21, 1, len(SETTINGS)) + SETTINGS
    served = host.Host()
    assert served.answer(frame(b"\x12\x03\0\0\0", started))[4:9] == wire.on_behalf(3)
    before = served.modules[3]
    served.answer(frame(b"\x12\x03\0\0\0", b"\x18", started))
    assert served.modules[3] is not before
    monkeypatch.setattr(before.__class__, "step", lambda *_: 1 // 0)
    assert b"ZeroDivisionError" in served.answer(frame(b"\x12\x03\0\0\0", b"\x1c\x01\0"))
