"""Options of the sockets between machines: a peer behind a silent cut must be found out in time."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

TCP_USER_TIMEOUT_MS = 1500  # Bytes not acknowledged for so long end the connection.


def enable_dead_peer_detection(tcp_socket: Any) -> None:
    """Set what finds a dead peer; `found` is a socket, or what the loop gives out in its place, or None."""
    if tcp_socket is None:
        return
    with contextlib.suppress(OSError):  # It may be closed already: then its reader says so.
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
