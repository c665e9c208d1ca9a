"""A control node as a process on a given folder, spoken to by HTTP alone: it uses no name of the program."""

from __future__ import annotations

import contextlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

IP = "127.246.1.1"  # The folder's owner: the program takes up no other machine's.
PROGRAM = ("-m", "ambershift.system")
ROOT = Path(__file__).parents[2]
SETTINGS = """
[SelfEntity]
NodeName = "control-riga-a-1"
Role = "control"
MachineClass = "core"
ServedRoles = ["control", "directory"]
IpAddress = "{ip}"
Zone = "riga-a"
Region = "riga"
Counted = true
InitialStart = true
DataDirectory = "{folder}"
[Network]
InternalPorts = [{internal}, {internal}]
SeedNodes = ["{ip}:{control}"]
[Network.Listen]
Control = "{ip}:{control}"
[Network.Zones]
riga-a = "riga"
riga-b = "riga"
[Platform]
HeartbeatMs = 1000
"""


def free_port() -> int:
    with socket.socket() as found:
        found.bind((IP, 0))
        return int(found.getsockname()[1])


class ControlProcess:
    """`begin` are the arguments of Python in front of those of the role."""

    def __init__(self, work: Path, folder: Path, begin: tuple[str, ...] = PROGRAM) -> None:
        self.port, self.log = free_port(), work / "control.log"
        settings = work / "control.toml"
        settings.write_text(
            SETTINGS.format(ip=IP, folder=folder, control=self.port, internal=free_port()), encoding="utf-8"
        )
        command = [sys.executable, "-B", *begin, "control", "--settings", str(settings)]
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=out, stderr=out
            )

    def exchange(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Status, names of headers in their order, content type and body (a text) of the answer."""
        connection = http.client.HTTPConnection(IP, self.port, timeout=10)
        with contextlib.closing(connection):
            connection.request(method, path, json.dumps(body) if body is not None else None)
            answer = connection.getresponse()
            return {
                "status": answer.status,
                "headers": [name for name, _ in answer.getheaders()],
                "type": answer.getheader("content-type"),
                "body": answer.read().decode(),
            }

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        found = self.exchange(method, path, body)
        return found["status"], json.loads(found["body"]) if found["body"] else None

    def rpc(self, name: str, of: str = "", body: Any = None) -> tuple[int, Any]:
        return self.call("POST", f"/ambershift/rpc?call={name}&of={of}", body or {})

    def sure(self, name: str, of: str = "", body: Any = None) -> Any:
        """The fields of an answer 200; other answers of a node that has just begun are asked again."""
        end = time.monotonic() + 15
        while True:
            try:
                status, found = self.rpc(name, of, body)
            except OSError as why:
                status, found = 0, why
            if status == 200:
                return found
            if time.monotonic() > end or self.process.poll() is not None or 400 <= status < 500:
                raise AssertionError(f"{name} of {of!r}: {status} {found}\n{self.log.read_text()}")
            time.sleep(0.1)

    def events(self) -> list[dict[str, Any]]:
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def end(self) -> None:
        """By SIGTERM, as operators do."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


@contextlib.contextmanager
def control_node(work: Path, folder: Path, begin: tuple[str, ...] = PROGRAM) -> Iterator[ControlProcess]:
    one = ControlProcess(work, folder, begin)
    try:
        yield one
    finally:
        one.end()
