"""What a request's and an answer's heads say to the proxy, and which headers are passed on."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from ambershift.system.proxy.retry_policy import Told
from ambershift.system.state_machine import NS_PER_MS

Headers = list[tuple[bytes, bytes]]

# They concern one connection only. `Expect` is answered here, and bodies go on with their length told anew.
HOP = frozenset(
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
# No server may send such values on; a backend in trouble may.
UNFIT = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
OURS = HOP | {b"expect", b"content-length", b"x-deadline-remaining", b"x-target-instance"}


@dataclass(slots=True)
class Asked:
    """A request's head. `left` is ns, None where the client tells nothing; `length` of the body, if told."""

    host: bytes = b""
    attempt: bytes = b""
    left: int | None = None
    length: int | None = None
    chunked: bool = False
    passed: Headers = field(default_factory=list)


def read_request(headers: Iterable[tuple[bytes, bytes]]) -> Asked:
    """Names are in lower case already."""
    asked, passed, named = Asked(), list[tuple[bytes, bytes]](), b""
    for pair in headers:
        name, value = pair
        if name not in OURS:
            passed.append(pair)
            if name == b"host":
                asked.host = value
            elif name == b"x-attempt-id":
                asked.attempt = value
        elif name == b"x-deadline-remaining":
            asked.left = _ms(value)
        elif name == b"content-length":
            asked.length = int(value) if value.isdigit() else None
        elif name == b"transfer-encoding":
            asked.chunked = True
        elif name == b"connection":
            named += b"," + value
    asked.passed = _without(passed, named) if named else passed
    return asked


def read_answer(status: int, headers: Iterable[tuple[bytes, bytes]], attempt: bytes) -> tuple[Told, Headers]:
    """What counts of an answer to this attempt, and the headers to pass on. Names are in lower case."""
    ours = sealed = turned = encoded = unfit = False
    passed, named = list[tuple[bytes, bytes]](), b""
    for pair in headers:
        name, value = pair
        if name in HOP:
            if name == b"connection":
                named += b"," + value
            continue
        passed.append(pair)
        if name == b"x-attempt-id":
            ours = value == attempt
        elif name == b"x-server-seal":
            sealed = True
        elif name == b"x-not-executed":
            turned = True
        elif name == b"content-encoding":
            encoded = True
        unfit = unfit or UNFIT.search(value) is not None
    told = Told(status, ours and not unfit, sealed, turned, encoded)
    return told, _without(passed, named) if named else passed


def load_of(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """The requests that wait at the backend, as `X-Server-Load` tells (running, waiting, slots)."""
    for name, value in headers:
        if name == b"x-server-load":
            parts = value.split(b",")
            return int(parts[1]) if len(parts) == 3 and parts[1].strip().isdigit() else None
    return None


def _without(headers: Headers, named: bytes) -> Headers:
    tokens = {token.strip().lower() for token in named.split(b",")} - {
        b"host",
        b"x-attempt-id",
        b"x-server-seal",
    }
    return [pair for pair in headers if pair[0] not in tokens]


def _ms(value: bytes) -> int | None:
    try:
        found = float(value)
    except ValueError:
        return None
    return max(0, int(min(found, 3_600_000) * NS_PER_MS)) if found == found else None
