"""What the heads of requests and responses say to the proxy, and which headers are passed on."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from ambershift.system.proxy.retry_policy import ResponseHead
from ambershift.system.state_machine import NS_PER_MS

Headers = list[tuple[bytes, bytes]]

# These concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)
# Request headers that are not passed on: the proxy answers `Expect` itself and sets the others anew.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"expect",
    b"content-length",
    b"x-deadline-remaining",
    b"x-target-instance",
}
# Headers that are passed on even where the `Connection` header names them.
RETAINED_HEADERS = {b"host", b"x-attempt-id", b"x-server-seal"}
# Control characters, which no server may pass on in a header value. A faulty backend may send them.
INVALID_HEADER_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
MAX_REMAINING_MS = 3_600_000
SERVER_LOAD_FIELDS = 3


@dataclass(slots=True)
class RequestHead:
    """What the head of a client's request says.

    Attributes:
        host: The host, as the client wrote it.
        attempt_id: The id of this attempt of the client; empty if missing.
        remaining_ns: The time left until the client's deadline; None if not given.
        content_length: Bytes of the body; None if not given.
        is_chunked: Whether the body is sent with a transfer encoding.
        forwarded: The headers to pass on.
    """

    host: bytes = b""
    attempt_id: bytes = b""
    remaining_ns: int | None = None
    content_length: int | None = None
    is_chunked: bool = False
    forwarded: Headers = field(default_factory=list)


def read_request_head(headers: Iterable[tuple[bytes, bytes]]) -> RequestHead:
    """Read the headers of a request; their names are in lower case."""
    head, forwarded, connection_options = RequestHead(), list[tuple[bytes, bytes]](), b""
    for pair in headers:
        name, value = pair
        if name not in REPLACED_HEADERS:
            forwarded.append(pair)
            if name == b"host":
                head.host = value
            elif name == b"x-attempt-id":
                head.attempt_id = value
        elif name == b"x-deadline-remaining":
            head.remaining_ns = _parse_ms(value)
        elif name == b"content-length":
            head.content_length = int(value) if value.isdigit() else None
        elif name == b"transfer-encoding":
            head.is_chunked = True
        elif name == b"connection":
            connection_options += b"," + value
    head.forwarded = _without_options(forwarded, connection_options) if connection_options else forwarded
    return head


def read_response_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], attempt_id: bytes
) -> tuple[ResponseHead, Headers]:
    """Read the headers of a response to this attempt; their names are in lower case.

    Returns:
        What retries depend on, and the headers to pass on.
    """
    matches = sealed = not_executed = encoded = invalid = False
    forwarded, connection_options = list[tuple[bytes, bytes]](), b""
    for pair in headers:
        name, value = pair
        if name in HOP_BY_HOP_HEADERS:
            if name == b"connection":
                connection_options += b"," + value
            continue
        forwarded.append(pair)
        if name == b"x-attempt-id":
            matches = value == attempt_id
        elif name == b"x-server-seal":
            sealed = True
        elif name == b"x-not-executed":
            not_executed = True
        elif name == b"content-encoding":
            encoded = True
        invalid = invalid or INVALID_HEADER_VALUE.search(value) is not None
    head = ResponseHead(status, matches and not invalid, sealed, not_executed, encoded)
    return head, _without_options(forwarded, connection_options) if connection_options else forwarded


def read_queue_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return how many requests wait at the backend, from `X-Server-Load` (running, waiting, slots)."""
    for name, value in headers:
        if name == b"x-server-load":
            parts = value.split(b",")
            is_valid = len(parts) == SERVER_LOAD_FIELDS and parts[1].strip().isdigit()
            return int(parts[1]) if is_valid else None
    return None


def _without_options(headers: Headers, connection_options: bytes) -> Headers:
    """Remove the headers that the `Connection` header names."""
    named = {token.strip().lower() for token in connection_options.split(b",")} - RETAINED_HEADERS
    return [pair for pair in headers if pair[0] not in named]


def _parse_ms(value: bytes) -> int | None:
    """Return a number of ms as ns, at most an hour; None where it isn't a number."""
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    if math.isnan(milliseconds):
        return None
    return max(0, int(min(milliseconds, MAX_REMAINING_MS) * NS_PER_MS))
