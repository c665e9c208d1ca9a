"""Socket options of the links: a peer behind a silent network partition must be detected in time."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

TCP_USER_TIMEOUT_MS = 1500  # How long sent bytes may stay unacknowledged.


def enable_dead_peer_detection(tcp_socket: Any) -> None:
    """Make the kernel end a connection whose peer no longer acknowledges (RFC 5482, RFC 1122 4.2.3.6).

    Args:
        tcp_socket: The socket, or the event loop's substitute for it. None, or one that is already closed, is
            left alone.
    """
    if tcp_socket is None:
        return
    with contextlib.suppress(OSError):  # Already closed: the task that reads it finds out.
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
