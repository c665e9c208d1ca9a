"""uvicorn as a part of a process, which handles the signals itself and tells the server when to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import uvicorn

BACKLOG = 1024

# Shares of the grace period (`GraceS`): how long a proxy that is told to stop accepts new requests, and what
# it reserves for its own end. A backend may be at work until the last sixth (rule LOST), and the platform
# kills the process at the end of the period.
ACCEPTING_SHARE = 1 / 2
RESERVE_SHARE = 1 / 15
RESERVE_MAX_S = 0.4


def response_deadline_s(grace_s: float) -> float:
    """Seconds after the signal to stop by which a proxy has answered all requests, or breaks them off."""
    return grace_s - min(RESERVE_MAX_S, RESERVE_SHARE * grace_s)


class HttpServer(uvicorn.Server):
    """Serves an ASGI application on sockets; `should_exit` ends it once requests in flight are complete."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals alone: the process has its own handlers."""
        yield

    def advertise_keep_alive(self, seconds: int | None) -> None:
        """Send `Keep-Alive: timeout` with each response from now on, or none.

        uvicorn reads the headers once a second, so it takes effect within a second.
        """
        headers = [] if seconds is None else [(b"keep-alive", b"timeout=%d" % seconds)]
        self.config.encoded_headers = headers


def create_server(
    application: Any, keep_alive_s: int, shutdown_timeout_s: float, protocol: Any = "httptools"
) -> HttpServer:
    """Configure a server.

    Args:
        application: The ASGI application.
        keep_alive_s: How long a connection may be idle before it is closed.
        shutdown_timeout_s: How long requests in flight may take after `should_exit` is set.
        protocol: uvicorn's name of a protocol, or a factory of protocols for connections.
    """
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
            # uvicorn's type says int, but a fraction works: rounded down, a stop would break requests off up
            # to a second early.
            timeout_graceful_shutdown=shutdown_timeout_s,  # type: ignore[arg-type]
        )
    )


def install_signal_handlers(stop: Callable[[], object], reread: Callable[[], object]) -> None:
    """SIGTERM and SIGINT call `stop`; SIGHUP calls `reread`, also one that came while the program loaded."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reread)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def bind_listener(address: str) -> socket.socket:
    """Bind a TCP socket to `ip:port`.

    Raises:
        OSError: The address is taken or isn't one of this machine.
    """
    ip, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, int(port)))
    return listener


def bind_listeners(addresses: Sequence[str]) -> list[socket.socket]:
    """Bind a TCP socket to each address.

    Raises:
        OSError: One of the addresses is taken or isn't one of this machine.
    """
    return [bind_listener(address) for address in addresses]


def try_bind_listener(address: str) -> socket.socket | None:
    """Bind a TCP socket that may be done without; None if the address can't be bound."""
    try:
        return bind_listener(address)
    except OSError:
        return None
