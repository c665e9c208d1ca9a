"""uvicorn as a part of a process: signals are the process's own, and it ends when it is told to."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import uvicorn

BACKLOG = 1024
# Of `GraceS`: how long a proxy that is told to end takes new requests, and what it keeps for its own end. A
# backend may be at work until the last sixth (LOST), and the process is killed at the whole.
ACCEPTING_SHARE, RESERVE_SHARE = 1 / 2, 1 / 15
RESERVE_MAX_S = 0.4


def response_deadline_s(grace_s: float) -> float:
    """Seconds after the word to end by which a proxy has answered, or breaks off."""
    return grace_s - min(RESERVE_MAX_S, RESERVE_SHARE * grace_s)


def bind_listener(address: str) -> socket.socket:
    """A bound socket, or OSError."""
    ip, _, port = address.rpartition(":")
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip, int(port)))
    return bound


class HttpServer(uvicorn.Server):
    """Serves an ASGI application on sockets; `should_exit` ends it once what is under way is done."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield  # SIGTERM and SIGHUP mean more here than uvicorn makes of them.

    def advertise_keep_alive(self, seconds: int | None) -> None:
        """From the next second on each answer tells clients to keep idle connections no longer than this."""
        self.config.encoded_headers = [] if seconds is None else [(b"keep-alive", b"timeout=%d" % seconds)]


def create_server(
    application: Any, keep_alive_s: int, shutdown_timeout_s: float, protocol: Any = "httptools"
) -> HttpServer:
    """`idle_s`: how long a connection may wait for its next request. `finish_s`: how long an end may take.
    `speaks`: uvicorn's protocol for a connection, or what makes one in its place."""
    return HttpServer(
        uvicorn.Config(
            application,
            http=protocol,
            loop="none",
            lifespan="off",
            ws="none",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            timeout_keep_alive=keep_alive_s,
            # A fraction is fine: rounded down, an end would break requests off up to a second early.
            timeout_graceful_shutdown=shutdown_timeout_s,  # type: ignore[arg-type]
        )
    )


def install_signal_handlers(stop: Callable[[], object], reread: Callable[[], object]) -> None:
    """SIGTERM and SIGINT call `end`; SIGHUP calls `reread`, also one that came while the program loaded."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reread)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def bind_listeners(addresses: Sequence[str]) -> list[socket.socket]:
    return [bind_listener(address) for address in addresses]


def try_bind_listener(address: str) -> socket.socket | None:
    """For what may be done without: None where the address is taken."""
    try:
        return bind_listener(address)
    except OSError:
        return None
