"""Places: the sockets at which the runtime API listens, made ready or refused with what is in the way."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import stat
import struct
from typing import NamedTuple

from ambershift.coordinator.runtime.session import Level

# The kernel's bound on the path of a Unix socket, less the byte that ends it.
PATH_MOST = 107
TRY_LIMIT = 0.5


class PlaceError(Exception):
    """A place where nothing can listen; the message names it and says what to do."""


class UnixPlace(NamedTuple):
    path: str
    mode: int
    level: Level

    @property
    def title(self) -> str:
        return f"unix@{self.path}"


class TcpPlace(NamedTuple):
    host: str
    port: int
    level: Level

    @property
    def title(self) -> str:
        return f"ipv4@{self.host}:{self.port}"


class Bound(NamedTuple):
    """A socket that listens, and for a Unix socket which file is ours, by device and inode."""

    place: UnixPlace | TcpPlace
    socket: socket.socket
    file: tuple[int, int] | None

    def remove(self) -> None:
        """Take the file away, unless another program has put its own in its place meanwhile."""
        if self.file is None or not isinstance(self.place, UnixPlace):
            return
        with contextlib.suppress(OSError):
            found = os.lstat(self.place.path)
            if (found.st_dev, found.st_ino) == self.file:
                os.unlink(self.place.path)


def bind(place: UnixPlace | TcpPlace) -> Bound:
    return bind_unix(place) if isinstance(place, UnixPlace) else bind_tcp(place)


def bind_tcp(place: TcpPlace) -> Bound:
    try:
        return Bound(place, socket.create_server((place.host, place.port)), None)
    except OSError as error:
        raise PlaceError(f"{place.host}:{place.port}: can't listen there ({error.strerror})") from None


def bind_unix(place: UnixPlace) -> Bound:
    path = place.path
    if (size := len(os.fsencode(path))) > PATH_MOST:
        raise PlaceError(
            f"{path}: the path has {size} bytes, the system takes {PATH_MOST}; choose a shorter one"
        )
    clear(path)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    # Made with no rights for others: between bind and chmod nobody else may get in.
    before = os.umask(0o177)
    try:
        sock.bind(path)
        os.chmod(path, place.mode)
        found = os.lstat(path)
    except OSError as error:
        sock.close()
        raise PlaceError(
            f"{path}: can't listen there ({error.strerror}); is the folder there, and may we write in it?"
        ) from None
    finally:
        os.umask(before)
    return Bound(place, sock, (found.st_dev, found.st_ino))


def clear(path: str) -> None:
    """Take away the file of a program that is no more; one that answers, or no socket at all, stays."""
    try:
        found = os.lstat(path)
    except FileNotFoundError:
        return
    except OSError as error:
        raise PlaceError(f"{path}: can't be looked at ({error.strerror})") from None
    if not stat.S_ISSOCK(found.st_mode):
        raise PlaceError(f"{path}: there is a file that is no socket; take it away or choose another path")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as trial:
        trial.settimeout(TRY_LIMIT)
        try:
            trial.connect(path)
        except OSError as error:
            if error.errno != errno.ECONNREFUSED:
                raise PlaceError(f"{path}: is a socket that can't be tried ({error.strerror})") from None
        else:
            raise PlaceError(f"{path}: a running program listens there; end it or choose another path")
    try:
        os.unlink(path)
    except OSError as error:
        raise PlaceError(
            f"{path}: what a program left there can't be taken away ({error.strerror})"
        ) from None


def peer(sock: socket.socket) -> str:
    """Who is at the other end, for records: the user of a Unix socket, the address of a TCP one."""
    if sock.family == socket.AF_UNIX:
        try:
            pid, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        except OSError:
            return "unix"
        return f"uid={uid},pid={pid}"
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return "tcp"
    return f"{host}:{port}"
