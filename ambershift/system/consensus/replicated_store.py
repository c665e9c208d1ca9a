"""The shell of the replica: its disk, its callers' futures, its messages. Implements `ReplicatedState`."""

from __future__ import annotations

import asyncio
import itertools
import sqlite3
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Protocol

import msgspec

from ambershift.system.consensus.contact_lease import NO_CONTACT_AGE_MS
from ambershift.system.consensus.disk import Disk, Rows
from ambershift.system.consensus.effect_buffer import CallSucceeded, ItemsUpdated
from ambershift.system.consensus.events import ChangeRegister, Event, ReadQuorum, WriteItems
from ambershift.system.consensus.membership_view import (
    MembershipStatus,
    control_node_addresses,
    membership_status,
)
from ambershift.system.consensus.replica import Replica
from ambershift.system.interfaces import ChangeFunction, DeltaCodec, NotAppliedError
from ambershift.system.messages.items import Item, Key
from ambershift.system.messages.proxy_link import ControlNodeAddress
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import (
    NS_PER_SECOND,
    CompleteCall,
    LogEvent,
    MessageReceived,
    PeerConnected,
    ScheduleTick,
    Send,
    Tick,
    Write,
    WriteCompleted,
)

EVENT_LISTENER_FAILED = 6
EVENT_DISK_QUARANTINED = 206
EVENT_DISK_UNAVAILABLE = 207
DISK_REOPEN_INTERVAL_S = 0.3  # Seconds between tries to open the folder.
LEAVE_POLL_INTERVAL_S = 0.02  # Seconds between looks whether this machine has left.


class StorageBackend(Protocol):
    """The disk under a store: `disk.Disk`, or a simulated one."""

    quarantine_reason: str | None

    def open(self) -> Rows: ...

    def write(self, write: Write) -> None: ...

    def close(self) -> None: ...


class ReplicatedStore:
    """`send(ip, message)` may lose it; `steady` gives ns; `log(number, fields)`. Call `tick` each 50 ms."""

    def __init__(
        self,
        settings: Local,
        *,
        send: Callable[[str, msgspec.Struct], None],
        steady_ns: Callable[[], int],
        seed: int,
        delta_codecs: Callable[[str], DeltaCodec | None],
        log: Callable[[int, dict[str, Any]], None],
        open_disk: Callable[[str, str, Callable[[int, str | None], None]], StorageBackend] = Disk,
    ) -> None:
        self._settings = settings
        self._send = send
        self._steady_ns = steady_ns
        self._log = log
        self._seed = seed
        self._delta_codecs = delta_codecs
        self._open_disk = open_disk
        self._replica: Replica | None = None
        self._disk: StorageBackend | None = None
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._next_call = itertools.count(1)
        self._events: deque[Event] = deque()
        self._stepping = False
        self._listeners: list[Callable[[Sequence[Item]], None]] = []
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def replica(self) -> Replica | None:
        """None before the start and after the end."""
        return self._replica

    # The shell's side.

    async def start(self) -> None:
        """Read the folder, trying until its disk lets it; without one all is kept in memory only."""
        self._loop = asyncio.get_running_loop()
        rows: Rows = {}
        if self._settings.folder is not None:
            self._disk = self._open_disk(self._settings.folder, self._settings.ip, self._on_written)
            rows = await self._read_disk(self._disk)
            if self._disk.quarantine_reason is not None:
                self._log(EVENT_DISK_QUARANTINED, {"reason": self._disk.quarantine_reason})
        self._replica = Replica(
            self._settings,
            seed=self._seed,
            delta_codecs=self._delta_codecs,
            rows=rows,
            now=self._steady_ns(),
        )
        self.tick()

    async def _read_disk(self, disk: StorageBackend) -> Rows:
        while True:
            try:
                return await asyncio.to_thread(disk.open)
            except (OSError, sqlite3.Error) as why:
                self._log(EVENT_DISK_UNAVAILABLE, {"reason": str(why)})
                await asyncio.sleep(DISK_REOPEN_INTERVAL_S)

    def receive_message(self, sender_ip: str, message: msgspec.Struct) -> None:
        self._step(MessageReceived(sender_ip, message))

    def on_peer_connected(self, ip: str) -> None:
        """A link to that one has come up: what was sent before is lost."""
        self._step(PeerConnected(ip))

    def tick(self) -> None:
        self._step(Tick())

    def start_leaving(self) -> None:
        """The process is about to end: others are told at once to propose for themselves."""
        if self._replica is not None:
            self._replica.failure_detector.start_leaving()
            self.tick()

    async def wait_until_left(self, timeout_s: float) -> bool:
        """Wait until this machine is no voter and the others are complete without it, at most `within` s.

        False where that was not to be had, as the voters would be worse off without its seat."""
        end = self._steady_ns() + int(timeout_s * NS_PER_SECOND)
        while self._replica is not None and self._steady_ns() < end:
            if self._replica.failure_detector.has_left():
                return True
            if not self._replica.is_leaving_voters():
                return False
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        return False

    def close(self) -> None:
        """End the disk's thread once it has written what waits. Calls still out fail."""
        self._replica = None
        for future in self._calls.values():
            if not future.done():
                future.cancel()
        self._calls.clear()
        if self._disk is not None:
            self._disk.close()

    def _on_written(self, token: int, fault: str | None) -> None:
        loop = self._loop
        if loop is not None and not loop.is_closed():
            loop.call_soon_threadsafe(self._step, WriteCompleted(token, fault))

    def _step(self, event: Event) -> None:
        self._events.append(event)
        if self._stepping:
            return  # A listener or a change calls again: its turn comes below.
        self._stepping = True
        try:
            while self._events and self._replica is not None:
                for effect in self._replica.step(self._steady_ns(), self._events.popleft()):
                    self._execute(effect)
        finally:
            self._stepping = False

    def _execute(self, effect: Any) -> None:
        if isinstance(effect, Send):
            self._send(effect.recipient, effect.message)
        elif isinstance(effect, Write):
            if self._disk is not None:
                self._disk.write(effect)
            else:
                self._events.append(WriteCompleted(effect.token))
        elif isinstance(effect, CompleteCall):
            self._complete_call(effect)
        elif isinstance(effect, ItemsUpdated):
            self._notify(effect)
        elif isinstance(effect, LogEvent):
            self._log(effect.number, effect.fields)
        elif isinstance(effect, ScheduleTick) and self._loop is not None:
            self._loop.call_later(max(0, effect.at_ns - self._steady_ns()) / 1e9, self.tick)

    def _complete_call(self, effect: CompleteCall) -> None:
        future = self._calls.pop(effect.call_id, None)
        if future is None or future.done():
            return
        if isinstance(effect.outcome, CallSucceeded):
            future.set_result(effect.outcome.result)
        else:
            future.set_exception(effect.outcome)

    def _notify(self, effect: ItemsUpdated) -> None:
        for on_items in self._listeners:
            try:
                on_items(effect.items)
            except Exception as why:  # The rest of the step must be carried out.
                self._log(EVENT_LISTENER_FAILED, {"on": "items", "error": repr(why)[:200]})

    async def _call(self, event: Callable[[int], Event]) -> Any:
        if self._replica is None or self._loop is None:
            raise NotAppliedError("not started, or closed")
        number = next(self._next_call)
        future: asyncio.Future[Any] = self._loop.create_future()
        self._calls[number] = future
        self._step(event(number))
        try:
            return await future
        finally:
            self._calls.pop(number, None)

    # The contract's side.

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        await self._call(lambda call: WriteItems(call, items, timeout_s))

    async def read_quorum(self, timeout_s: float) -> None:
        await self._call(lambda call: ReadQuorum(call, timeout_s))

    async def change(self, register: str, change: ChangeFunction, timeout_s: float) -> Any:
        return await self._call(lambda call: ChangeRegister(call, register, change, timeout_s))

    def items(self) -> Mapping[Key, Item]:
        return {} if self._replica is None else MappingProxyType(self._replica.store.items)

    def subscribe(self, on_items: Callable[[Sequence[Item]], None]) -> None:
        self._listeners.append(on_items)

    def control_nodes(self) -> Sequence[ControlNodeAddress]:
        return (
            ()
            if self._replica is None
            else control_node_addresses(
                self._replica.voters, self._replica.peer_directory, self._replica.failure_detector
            )
        )

    def membership_status(self) -> MembershipStatus | None:
        return (
            None
            if self._replica is None
            else membership_status(
                self._replica.voters, self._replica.peer_directory, self._replica.failure_detector
            )
        )

    def has_quorum_contact(self) -> bool:
        return self._replica is not None and self._replica.failure_detector.has_quorum_contact()

    def contact_age_ms(self) -> int:
        return NO_CONTACT_AGE_MS if self._replica is None else self._replica.contact.age_ms()

    def is_alive(self, ip: str) -> bool:
        return self._replica is not None and self._replica.failure_detector.is_alive(ip)

    def settled_voters(self) -> frozenset[str]:
        return frozenset() if self._replica is None else self._replica.failure_detector.settled_voters()

    def is_responsive(self, ip: str) -> bool:
        return self._replica is not None and self._replica.failure_detector.is_responsive(ip)
