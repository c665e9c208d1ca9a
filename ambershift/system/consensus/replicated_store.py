"""The I/O around a `Replica`: its disk, its callers' futures, its messages. Implements `ReplicatedState`."""

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
from ambershift.system.settings.process_settings import ProcessSettings
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
DISK_REOPEN_INTERVAL_S = 0.3  # Between attempts to open the folder.
LEAVE_POLL_INTERVAL_S = 0.02


class StorageBackend(Protocol):
    """The disk under a store: `disk.Disk`, or a simulated one.

    Attributes:
        quarantine_reason: Why the files found at `open` were set aside; None where they weren't.
    """

    quarantine_reason: str | None

    def open(self) -> Rows:
        """Read all rows, by table and key.

        Raises:
            OSError: The folder can't be read or written now.
            sqlite3.Error: The same, of the database.
        """

    def write(self, write: Write) -> None:
        """Write rows in one transaction; its token is reported once they are synced, or have failed."""

    def close(self) -> None:
        """End once what was given to `write` is written."""


class ReplicatedStore:
    """A control node's replicated state. Call `tick` each 50 ms.

    `send(ip, message)` may lose the message, `steady_ns()` is the steady clock, `log(number, fields)` takes a
    numbered event.
    """

    def __init__(
        self,
        settings: ProcessSettings,
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
        """The replica; None before the start and after the end."""
        return self._replica

    # What the process calls.

    async def start(self) -> None:
        """Read the folder, again until that succeeds. Without a folder all is kept in memory only."""
        self._loop = asyncio.get_running_loop()
        rows: Rows = {}
        if self._settings.data_directory is not None:
            self._disk = self._open_disk(self._settings.data_directory, self._settings.ip, self._on_written)
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
        """Handle a message of `messages/replication.py`."""
        self._step(MessageReceived(sender_ip, message))

    def on_peer_connected(self, ip: str) -> None:
        """Handle that a link to the peer has come up: what was sent to it before is lost."""
        self._step(PeerConnected(ip))

    def tick(self) -> None:
        """Handle that time has passed."""
        self._step(Tick())

    def start_leaving(self) -> None:
        """Say that the process is about to end, so that peers propose for themselves at once."""
        if self._replica is not None:
            self._replica.failure_detector.start_leaving()
            self.tick()

    async def wait_until_left(self, timeout_s: float) -> bool:
        """Wait until this machine is no voter and the others are complete without it.

        Returns:
            False where that didn't happen in time, or won't: without it the voters would bear fewer losses.
        """
        end = self._steady_ns() + int(timeout_s * NS_PER_SECOND)
        while self._replica is not None and self._steady_ns() < end:
            if self._replica.failure_detector.has_left():
                return True
            if not self._replica.is_leaving_voters():
                return False
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        return False

    def close(self) -> None:
        """End the disk's thread once it has written what waits. Pending calls are cancelled."""
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

    # `ReplicatedState`.

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        """Store items on a majority; see `ReplicatedState`."""
        await self._call(lambda call: WriteItems(call, items, timeout_s))

    async def read_quorum(self, timeout_s: float) -> None:
        """Merge what a majority stores; see `ReplicatedState`."""
        await self._call(lambda call: ReadQuorum(call, timeout_s))

    async def change(self, register: str, change: ChangeFunction, timeout_s: float) -> Any:
        """Run a change on a register; see `ReplicatedState`."""
        return await self._call(lambda call: ChangeRegister(call, register, change, timeout_s))

    def items(self) -> Mapping[Key, Item]:
        """All items of this copy, tombstones too."""
        return {} if self._replica is None else MappingProxyType(self._replica.store.items)

    def subscribe(self, on_items: Callable[[Sequence[Item]], None]) -> None:
        """Call `on_items` with each batch of items that were just updated here."""
        self._listeners.append(on_items)

    def control_nodes(self) -> Sequence[ControlNodeAddress]:
        """All control nodes known and not known to be gone for good, this one too."""
        return (
            ()
            if self._replica is None
            else control_node_addresses(
                self._replica.voters, self._replica.peer_directory, self._replica.failure_detector
            )
        )

    def membership_status(self) -> MembershipStatus | None:
        """The voters as this machine sees them; None before the start."""
        return (
            None
            if self._replica is None
            else membership_status(
                self._replica.voters, self._replica.peer_directory, self._replica.failure_detector
            )
        )

    def has_quorum_contact(self) -> bool:
        """Whether a majority is in contact."""
        return self._replica is not None and self._replica.failure_detector.has_quorum_contact()

    def contact_age_ms(self) -> int:
        """How old this copy may be; `NO_CONTACT_AGE_MS` where that isn't known."""
        return NO_CONTACT_AGE_MS if self._replica is None else self._replica.contact.age_ms()

    def is_alive(self, ip: str) -> bool:
        """Whether that control node is alive."""
        return self._replica is not None and self._replica.failure_detector.is_alive(ip)

    def settled_voters(self) -> frozenset[str]:
        """The voters that have been well for a while."""
        return frozenset() if self._replica is None else self._replica.failure_detector.settled_voters()

    def is_responsive(self, ip: str) -> bool:
        """Whether that control node was heard within its last few heartbeats."""
        return self._replica is not None and self._replica.failure_detector.is_responsive(ip)
