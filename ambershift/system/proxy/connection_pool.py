"""Connections to backends: which idle one is fit for a request, when a new one is opened, what is kept."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

import httpcore

from ambershift.system.proxy.backend_instance import BackendInstance
from ambershift.system.proxy.http_exchange import (
    DEFAULT_KEEP_ALIVE_NS,
    RESPONSE_BUFFER_MAX,
    AttemptError,
    BackendConnection,
    Headers,
)
from ambershift.system.proxy.retry_policy import Ending, Stage
from ambershift.system.proxy.socket_stream import IdleState, dial
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

# An idle connection is not used in the last part of the time that the backend keeps it: the backend may be
# closing it. A request that isn't idempotent can't be retried after that, so it gets the larger margin.
KEEP_ALIVE_MARGIN_NS = NS_PER_SECOND // 2
KEEP_ALIVE_MARGIN_NON_IDEMPOTENT_NS = 3 * NS_PER_SECOND // 2
MAX_IDLE_CONNECTIONS = 1200  # To all backends together: file descriptors are limited.
# After unexpected bytes from a backend, requests that aren't idempotent get new connections for so long.
UNEXPECTED_BYTES_TTL_NS = 5 * NS_PER_SECOND
CONNECT_TIMEOUT_LOCAL_NS = 150 * NS_PER_MS  # To a backend of the proxy's own region.
CONNECT_TIMEOUT_REMOTE_NS = 300 * NS_PER_MS
# Errors of a connect that are due to this machine's resources, not to the backend.
LOCAL_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


@dataclass(slots=True)
class IdleConnections:
    """Idle connections to one instance.

    Attributes:
        origin: The address of the instance, as `httpcore` wants it.
        idle: Those used last are at the end, and used first: few stay busy, and the others age.
        unexpected_bytes_until: Until when unexpected bytes from there count.
    """

    origin: httpcore.Origin
    idle: list[BackendConnection] = field(default_factory=list)
    unexpected_bytes_until: int = 0


class ConnectionPool:
    """Opens connections to backends, and keeps the idle ones.

    Attributes:
        opened: Connections opened since the start.
        response_buffer_size: Bytes of a response that are buffered before any of it is passed on.
    """

    def __init__(self, monotonic_ns: Callable[[], int]) -> None:
        """Start without connections."""
        self._monotonic_ns = monotonic_ns
        self._pools: dict[BackendInstance, IdleConnections] = {}
        self.opened = 0
        self.response_buffer_size = RESPONSE_BUFFER_MAX

    def _pool(self, instance: BackendInstance) -> IdleConnections:
        pool = self._pools.get(instance)
        if pool is None:
            host, _, port = instance.address.rpartition(":")
            origin = httpcore.Origin(b"http", host.encode(), int(port))
            pool = self._pools[instance] = IdleConnections(origin)
        return pool

    def take_idle(self, instance: BackendInstance, idempotent: bool) -> BackendConnection | None:
        """Take an idle connection that is fit for such a request out of the pool, if there is one."""
        pool = self._pools.get(instance)
        if pool is None:
            return None
        now = self._monotonic_ns()
        if not idempotent and now < pool.unexpected_bytes_until:
            return None
        while pool.idle:
            connection = pool.idle.pop()
            state = connection.idle_state(check_socket=True)
            time_left_ns = connection.idle_since + connection.keep_alive_ns - now
            if state is IdleState.READY and time_left_ns > KEEP_ALIVE_MARGIN_NS:
                if idempotent or time_left_ns > KEEP_ALIVE_MARGIN_NON_IDEMPOTENT_NS:
                    return connection
                pool.idle.append(connection)  # Still good for an idempotent request.
                return None
            if state is IdleState.UNREAD_DATA:
                self.record_unexpected_bytes(instance)
            connection.socket_stream.close()
        return None

    async def connect(self, instance: BackendInstance, timeout_s: float) -> BackendConnection:
        """Open a connection.

        Raises:
            AttemptError: There is no connection, so nothing was executed.
        """
        try:
            pool = self._pool(instance)
            stream = await dial(instance.address, timeout_s)
        except (OSError, ValueError) as error:
            ending = Ending.TIMED_OUT if isinstance(error, TimeoutError) else Ending.CONNECTION_LOST
            if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
                ending = Ending.ABANDONED
            raise AttemptError(Stage.NOT_CONNECTED, ending) from error
        self.opened += 1
        return BackendConnection(pool.origin, stream)

    def release(self, instance: BackendInstance, connection: BackendConnection, headers: Headers) -> None:
        """A response with these headers is complete: keep the connection if it may be used again."""
        close, keep_alive_ns = False, DEFAULT_KEEP_ALIVE_NS
        for name, value in headers:
            if name == b"connection":
                close = close or b"close" in value.lower()
            elif name == b"keep-alive":
                keep_alive_ns = _parse_keep_alive_ns(value)
        state = connection.idle_state(check_socket=False)
        if state is IdleState.UNREAD_DATA:
            self.record_unexpected_bytes(instance)
        if close or instance.retired or state is not IdleState.READY:
            connection.socket_stream.close()
            return
        connection.idle_since, connection.keep_alive_ns = self._monotonic_ns(), keep_alive_ns
        pool = self._pool(instance)
        pool.idle.append(connection)
        if len(pool.idle) + instance.in_flight > instance.max_in_flight:
            pool.idle.pop(0).socket_stream.close()

    def record_unexpected_bytes(self, instance: BackendInstance) -> None:
        """Bytes have come from there that belong to no request."""
        pool = self._pools.get(instance)
        if pool is not None:
            pool.unexpected_bytes_until = self._monotonic_ns() + UNEXPECTED_BYTES_TTL_NS

    def close_expired(self) -> None:
        """Close idle connections that the backend has closed or soon will, and the oldest above the limit."""
        now, kept = self._monotonic_ns(), list[BackendConnection]()
        for instance in [instance for instance in self._pools if instance.retired]:
            self.drop(instance)
        for pool in self._pools.values():
            expired = [
                connection
                for connection in pool.idle
                if connection.socket_stream.is_closed
                or now - connection.idle_since >= connection.keep_alive_ns - KEEP_ALIVE_MARGIN_NS
            ]
            for connection in expired:
                pool.idle.remove(connection)
                connection.socket_stream.close()
            kept += pool.idle
        if len(kept) > MAX_IDLE_CONNECTIONS:
            kept.sort(key=lambda connection: connection.idle_since)
            for connection in kept[: len(kept) - MAX_IDLE_CONNECTIONS]:
                connection.socket_stream.close()  # The next call finds it closed and removes it.

    def drop(self, instance: BackendInstance) -> None:
        """The instance is gone: close the idle connections to it."""
        pool = self._pools.pop(instance, None)
        for connection in pool.idle if pool is not None else ():
            connection.socket_stream.close()


def _parse_keep_alive_ns(value: bytes) -> int:
    """Return the time-out of a `Keep-Alive` header, or the default."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number) * NS_PER_SECOND
    return DEFAULT_KEEP_ALIVE_NS


def connect_timeout_s(is_local_region: bool, connect_failures: int, time_left_ns: int) -> float:
    """Return how long to wait for a connection; longer with each one that has failed in this request."""
    base_ns = CONNECT_TIMEOUT_LOCAL_NS if is_local_region else CONNECT_TIMEOUT_REMOTE_NS
    return max(1, min(base_ns * (1 + connect_failures), time_left_ns)) / NS_PER_SECOND
