"""What our settings may say: the typed form, its bounds and defaults, and the checks across keys.

runtime {
  socket "/run/ambershift.sock" { mode = "0600"  level = "admin" }
  tcp "127.0.0.1:9999" { level = "user" }
  max_connections = 64
  timeout = "60s"
}
log { level = "info" }
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from ambershift.coordinator.settings.checks import Complaint, duration, split, taken
from ambershift.coordinator.settings.group import Group, check_group
from ambershift.coordinator.settings.interference import Interference, check_interference
from ambershift.coordinator.settings.maintenance import (
    Blocks,
    MaintenanceBlock,
    TenantBlock,
    WindowBlock,
    WorkBlock,
    check_maintenance,
)
from ambershift.coordinator.settings.tree import Block, SettingsError, Value, parse

LevelName = Literal["user", "operator", "admin"]
FILE_MOST = 1 << 20


class UnixSocket(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A Unix socket: who may open it by `mode`, what it may by `level`."""

    path: str
    mode: str = "0600"
    level: LevelName = "admin"


class TcpSocket(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A loopback TCP socket. Whoever is on the machine may connect, so that it gives less by default."""

    address: str
    level: LevelName = "user"


class Runtime(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The runtime API; `timeout` is how long a connection may say nothing."""

    socket: tuple[UnixSocket, ...] = ()
    tcp: tuple[TcpSocket, ...] = ()
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64
    timeout: str = "60s"


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    level: Literal["debug", "info", "warning", "error"] = "info"


class Root(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of our own settings."""

    runtime: Runtime = Runtime()
    log: Log = Log()
    group: Group | msgspec.UnsetType = msgspec.UNSET
    interference: Interference | msgspec.UnsetType = msgspec.UNSET
    tenant: tuple[TenantBlock, ...] = ()
    window: tuple[WindowBlock, ...] = ()
    work: tuple[WorkBlock, ...] = ()
    maintenance: MaintenanceBlock | msgspec.UnsetType = msgspec.UNSET

    @property
    def blocks(self) -> Blocks:
        """What `settings.maintenance.declared` reads."""
        return Blocks(self.tenant, self.window, self.work, self.maintenance)


# Blocks with a label: the key that the label stands for. All other blocks stand once, without labels.
LABELLED = {
    "runtime.socket": "path",
    "runtime.tcp": "address",
    "group.member": "name",
    "tenant": "name",
    "window": "name",
    "work": "name",
    "interference.source": "node",
    "interference.source.job": "name",
}


def read_file(path: str) -> Root:
    """Read, check and type one file; whatever is wrong is a SettingsError with its line."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, 0, "", f"can't be read ({error.strerror})") from None
    if len(data) > FILE_MOST:
        raise SettingsError(path, 0, "", f"is over {FILE_MOST} bytes, which no settings are")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise SettingsError(path, line, "", "is no UTF-8") from None
    return read_text(text, path)


def read_text(text: str, place: str) -> Root:
    lines = dict[str, int]()
    found = flatten(parse(text, place), "", lines, place)
    try:
        root = msgspec.convert(found, Root)
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `$")
        key = path.rstrip("`").lstrip(".")
        unknown = re.search(r"unknown field `([^`]+)`", what)
        if unknown:
            key, what = f"{key}.{unknown[1]}".lstrip("."), "no such key"
        raise SettingsError(place, nearest(lines, key), key, what) from None
    check(root, lambda key, what: SettingsError(place, nearest(lines, key), key, what))
    return root


def nearest(lines: Mapping[str, int], key: str) -> int:
    """The line of a key, or of the innermost block around it that stands in the file."""
    while key:
        if key in lines:
            return lines[key]
        key = key.rpartition(".")[0] if "." in key else ""
    return 0


def flatten(block: Block, where: str, lines: dict[str, int], place: str) -> dict[str, Any]:
    found = dict[str, Any]()
    value: Value
    for name, value in block.values.items():
        found[name], lines[where + name] = value.plain, value.line
    for name, blocks in block.blocks.items():
        label = LABELLED.get(re.sub(r"\[[0-9]+\]", "", where + name))
        if label is None and (len(blocks) > 1 or blocks[0].labels):
            last = blocks[-1]
            what = "takes no label" if last.labels else "stands here a second time"
            raise SettingsError(place, last.line, where + name, what)
        if label is None:
            lines[where + name] = blocks[0].line
            found[name] = flatten(blocks[0], f"{where}{name}.", lines, place)
            continue
        rows = []
        for at, one in enumerate(blocks):
            key = f"{where}{name}[{at}]"
            if len(one.labels) != 1:
                raise SettingsError(place, one.line, where + name, f"takes one label, its {label}")
            lines[key] = lines[f"{key}.{label}"] = one.line
            inner = flatten(one, f"{key}.", lines, place)
            if label in inner:
                raise SettingsError(place, lines[f"{key}.{label}"], f"{key}.{label}", "is the label, no key")
            rows.append({label: one.labels[0], **inner})
        found[name] = rows
    return found


def check(root: Root, complain: Complaint) -> None:
    """What types alone don't tell."""
    places = dict[str, str]()
    for at, one in enumerate(root.runtime.socket):
        key = f"runtime.socket[{at}]"
        if not one.path.startswith("/") or "\0" in one.path:
            raise complain(f"{key}.path", f"'{one.path}' is no absolute path")
        if not re.fullmatch(r"0?[0-7]{3}", one.mode):
            raise complain(f"{key}.mode", f"'{one.mode}' is no mode of three octal digits, such as \"0600\"")
        taken(places, one.path, key, complain)
    for at, tcp in enumerate(root.runtime.tcp):
        key = f"runtime.tcp[{at}]"
        host, port = split(tcp.address, f"{key}.address", complain)
        taken(places, f"{host}:{port}", key, complain)
    if duration(root.runtime.timeout) is None:
        raise complain(
            "runtime.timeout", f'\'{root.runtime.timeout}\' is no time such as "500ms", "60s" or "5m"'
        )
    if isinstance(root.group, Group):
        check_group(root.group, complain)
        host, port = split(root.group.listen, "group.listen", complain)
        taken(places, f"{host}:{port}", "group.listen", complain)
    check_maintenance(root.blocks, isinstance(root.group, Group), complain)
    if isinstance(root.interference, Interference):
        check_interference(root.interference, complain)
