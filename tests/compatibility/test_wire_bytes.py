"""Bytes between machines stay those of 2429538, so that nodes of both versions run side by side.

`fixtures/wire/` has one encoded example of each message and its layout. Classes and fields may be renamed
without an edit here; tags, order, number and types of fields, defaults and keys of maps may not change.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from pathlib import Path
from typing import Any

import pytest

from ambershift.coordinator.group.links.wire import FrameKind, encode_frame
from ambershift.coordinator.replication.gossip.types import RecordKind as HeardKind
from ambershift.system.messages import codec
from ambershift.system.messages.forwarding import PRESET_DICTIONARY
from ambershift.system.transport.link_path import CONTROL_NODE, PROXY, PeerIdentity, format_path, parse_path
from tests.compatibility.encoded_forms import GROUP, SYSTEM, Form
from tests.compatibility.struct_layout import differences, layout, tags

FOLDER = Path(__file__).parent / "fixtures" / "wire"
FORMS = {"system": SYSTEM, "group": GROUP}
FIXED = {name: json.loads((FOLDER / f"{name}.json").read_text()) for name in FORMS}
COMPRESSED = json.loads((FOLDER / "compressed.json").read_text())
EACH = [(file, name) for file, found in FIXED.items() for name in found]
WORDS_SHA256 = "24c6fca501f85dcd5e8aa51a32ff28523ef51ac44de2d5c26d54e66541a2a637"


def fixed(file: str, name: str) -> tuple[Form, dict[str, Any]]:
    return FORMS[file][name], FIXED[file][name]


@pytest.mark.parametrize("file", FORMS)
def test_each_form_has_a_fixture(file: str) -> None:
    assert FORMS[file].keys() == FIXED[file].keys()


@pytest.mark.parametrize("values", ["whole", "defaults"])
@pytest.mark.parametrize(("file", "name"), EACH)
def test_fixed_bytes_are_decoded_and_encoded_to_the_same(file: str, name: str, values: str) -> None:
    form, found = fixed(file, name)
    for tag, text in found[values].items():
        data = bytes.fromhex(text)
        assert form.encode(form.decode(data)) == data, tag


@pytest.mark.parametrize(("file", "name"), EACH)
def test_tags_are_those_of_the_fixture(file: str, name: str) -> None:
    form, found = fixed(file, name)
    assert tags(form.kind) == found["whole"].keys() == found["defaults"].keys()


@pytest.mark.parametrize(("file", "name"), EACH)
def test_number_order_types_and_defaults_of_fields_are_those_of_the_fixture(file: str, name: str) -> None:
    form, found = fixed(file, name)
    assert differences(found["layout"], layout(form.kind)) == []


@pytest.mark.parametrize(
    ("name", "first", "window", "dictionary"),
    [("deflated", 0x78, zlib.MAX_WBITS, b""), ("preset dictionary", 0xC1, -9, PRESET_DICTIONARY)],
)
def test_compressed_messages_are_read_and_made_as_before(
    name: str, first: int, window: int, dictionary: bytes
) -> None:
    """Versions of zlib may compress otherwise: what is sent is compared once it is inflated."""
    plain, sent = (bytes.fromhex(COMPRESSED[name][one]) for one in ("plain", "sent"))
    message = codec.decode(sent)
    assert message == codec.decode(plain)
    again = codec.encode(message)
    assert sent[0] == again[0] == first
    body = again if window > 0 else again[1:]
    assert zlib.decompressobj(window, dictionary).decompress(body) == plain


def test_preset_dictionary_and_versions_are_those_of_2429538() -> None:
    assert hashlib.sha256(PRESET_DICTIONARY).hexdigest() == WORDS_SHA256
    assert codec.WIRE_VERSION == 2
    assert (codec.DEFLATE_MIN_BYTES, codec.MAX_MESSAGE_BYTES) == (1024, 16 << 20)


@pytest.mark.parametrize(
    ("kind", "path"), [(CONTROL_NODE, "/2/control/10.0.0.1/ab12"), (PROXY, "/2/desk/10.0.0.1/ab12")]
)
def test_path_of_a_link_is_that_of_2429538(kind: str, path: str) -> None:
    caller = PeerIdentity(kind, "10.0.0.1", "ab12")
    assert format_path(caller) == path and parse_path(path) == caller


def test_numbers_of_frames_and_of_heard_records_are_those_of_2429538() -> None:
    assert [encode_frame(kind, b"x") for kind in sorted(FrameKind)] == [b"\x01x", b"\x02x", b"\x03x"]
    assert sorted(HeardKind) == list(range(1, 11))
