"""What the processes of both roles do alike: settings file, signals, sockets, and the log of link traffic."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import socket
import time
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any

from ambershift.system.processes.http_server import bind_listeners, install_signal_handlers, try_bind_listener
from ambershift.system.processes.logs import EventLog
from ambershift.system.processes.metrics import PORT_TAKEN, Metric
from ambershift.system.processes.settings_watch import POLL_INTERVAL_S, SettingsFileWatch
from ambershift.system.settings.process_settings import ProcessSettings, SettingsError, read_settings
from ambershift.system.transport.traffic_meter import Locality, TrafficMeter


class RoleProcess(abc.ABC):
    """Base of the two processes; `run` of a subclass serves until `stop_requested` is set.

    Attributes:
        settings: As last read from the file.
        log: Writes an event, by its number and fields.
        traffic_meter: Counts the bytes written to links.
        settings_watch: Notices changes of the settings file.
        stop_requested: Set by SIGTERM and SIGINT.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Prepare a process; nothing is opened yet."""
        self.settings = settings
        self.log = EventLog(settings.name, time.monotonic_ns)
        self.traffic_meter = TrafficMeter((settings.zone, settings.region), self.locate)
        self.settings_watch = SettingsFileWatch(settings.file)
        self.stop_requested = asyncio.Event()
        self._next_settings_check_s = 0.0  # By `time.monotonic`.

    @abc.abstractmethod
    async def run(self) -> None:
        """Serve until `stop_requested` is set, then shut down in order."""

    @abc.abstractmethod
    def locate(self, peer: str) -> Locality | None:
        """Zone and region of the other end of a link; None where unknown."""

    @abc.abstractmethod
    def metrics(self) -> list[Metric]:
        """The metrics of this process."""

    def handle_signals(self) -> None:
        """SIGTERM and SIGINT request a stop, SIGHUP reads the settings file again."""
        install_signal_handlers(self.stop_requested.set, self.reload_settings)

    def bind_sockets(self, listen_names: Iterable[str], metrics_port: int) -> list[socket.socket]:
        """Bind the addresses that the settings give for some names, and the port for metrics.

        A port for metrics that is taken is done without.

        Raises:
            OSError: Another address is taken.
        """
        listen = self.settings.listen_addresses
        sockets = bind_listeners([listen[name] for name in listen_names if name in listen])
        metrics_address = f"{self.settings.ip}:{metrics_port}"
        if (metrics_socket := try_bind_listener(metrics_address)) is not None:
            sockets.append(metrics_socket)
        else:
            self.log(PORT_TAKEN, {"address": metrics_address})
        return sockets

    def reload_settings(self) -> None:
        """Read the settings file again; one that can't be used changes nothing."""
        try:
            self.settings = read_settings(self.settings.file)
        except SettingsError as error:
            self.log(5, {"reason": str(error)})
            return
        self.apply_settings()
        self.log(4, {"seeds": len(self.settings.seeds)})

    @abc.abstractmethod
    def apply_settings(self) -> None:
        """Hand new settings on to the parts that keep a copy."""

    def check_settings_file(self) -> None:
        """Read the settings file again if it has changed; looks each `POLL_INTERVAL_S` at the most."""
        now_s = time.monotonic()
        if now_s >= self._next_settings_check_s:
            self._next_settings_check_s = now_s + POLL_INTERVAL_S
            if self.settings_watch.has_changed():
                self.reload_settings()

    def log_traffic(self) -> None:
        """Write what links have carried, when it is due."""
        if (traffic := self.traffic_meter.report_if_due(time.monotonic_ns())) is not None:
            self.log(105, {**traffic})


@contextlib.contextmanager
def background_tasks(*coroutines: Coroutine[Any, Any, None]) -> Iterator[list[asyncio.Task[None]]]:
    """Run coroutines as tasks and cancel them at the end.

    Not a task group: a task that fails must not end the others, and nothing waits for the cancelled ones.
    """
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
