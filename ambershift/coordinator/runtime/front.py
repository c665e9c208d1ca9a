"""The front: joins the controller to a running coordinator, and serves the sockets. It decides nothing."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from functools import partial

from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.program.assembly import Coordinator
from ambershift.coordinator.program.configuration import ConfigurationError
from ambershift.coordinator.routing.tap import Tap
from ambershift.coordinator.runtime import places
from ambershift.coordinator.runtime.execute import Executor
from ambershift.coordinator.runtime.places import Bound, PlaceError, TcpPlace, UnixPlace
from ambershift.coordinator.runtime.scene import Place, Relaying, Scene
from ambershift.coordinator.runtime.serving import SECOND, Serving
from ambershift.coordinator.runtime.session import Session
from ambershift.coordinator.runtime.tap import DeskTap
from ambershift.coordinator.transport.buffers import BufferPool
from ambershift.coordinator.transport.link import Link
from ambershift.coordinator.transport.listener import Listener

BUFFER, BUFFERS_A_CLIENT = 16_384, 2
END_WAIT = 0.3


class RuntimeFront(Serving):
    """`idle` is how many nanoseconds a connection may say nothing, `most` how many there may be."""

    def __init__(
        self,
        coordinator: Coordinator,
        spots: Sequence[UnixPlace | TcpPlace],
        most: int,
        idle: int,
        version: str,
    ) -> None:
        self.coordinator, self.spots, self.idle = coordinator, spots, idle
        start, admit, self.now = coordinator.config, coordinator.admission, coordinator.clock.now
        self.controller = AdminController(start.policy_settings.cold, start.policy_settings.report_period)
        self.tap: Tap = DeskTap(self.controller, self.now, self.moved)
        relay = coordinator.relay_client
        self.scene = Scene(
            self.controller,
            start.front_settings,
            admit.server_index,
            admit.addresses,
            self.now,
            coordinator.event_log.counts,
            lambda: Relaying(relay.address, len(relay.calls)),
            start.name,
            len(start.policy_settings.groups),
            version,
        )
        self.scene.pid, self.scene.memory_mb = os.getpid(), start.memory_mb
        self.executor = Executor(self.scene)
        self.listener = Listener(
            BufferPool(BUFFER, BUFFERS_A_CLIENT * most),
            most,
            self.serve,
            partial(coordinator.event_log.record_disconnect, "runtime"),
        )
        self.bound = list[Bound]()
        self.levels = dict[object, UnixPlace | TcpPlace]()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.waiters = set[asyncio.Future[None]]()
        self.sessions = dict[Link, Session]()

    # Opening and closing

    async def open(self) -> None:
        try:
            for spot in self.spots:
                one = places.bind(spot)
                self.bound.append(one)
                self.levels[one.socket.getsockname()] = spot
                await self.listener.listen(one.socket)
        except PlaceError as error:
            self.release()
            raise ConfigurationError(f"key 'runtime': {error}") from None
        self.scene.places = tuple(
            Place(
                spot.title,
                spot.level.name.lower(),
                f"{spot.mode:04o}" if isinstance(spot, UnixPlace) else "-",
            )
            for spot in self.spots
        )
        self.coordinator.event_log.record("runtime_open", places=[spot.title for spot in self.spots])

    async def close(self) -> None:
        """What was taken goes out; what comes now is refused; nothing is left half done."""
        self.listener.stop_accepting()
        if self.timer:
            self.timer.cancel()
        if (event := self.controller.flush(self.now())) is not None:
            self.coordinator.policy_driver.submit(event)
        self.wake()
        clock = asyncio.get_running_loop().time
        until = clock() + END_WAIT
        await asyncio.sleep(0)
        while clock() < until and (
            self.coordinator.policy_driver.events or self.coordinator.relay_client.calls
        ):
            await asyncio.sleep(0.01)
        for link, session in list(self.sessions.items()):
            if session.in_payload or link.framer.partial.length:
                self.say(link, session, "Refused (stopping): the coordinator ends; nothing of this was done.")
        await asyncio.sleep(0)
        self.listener.close()
        self.release()

    def release(self) -> None:
        for one in self.bound:
            one.remove()
            one.socket.close()

    # What moves the controller

    def moved(self) -> None:
        """Something came that answers may wait for, or that changes when the controller wants to be heard."""
        self.wake()
        if (at := self.controller.next_at(self.now())) is not None:
            self.arm(at)

    def arm(self, at: int) -> None:
        if self.timer and not self.timer.cancelled() and self.timer_at <= at:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_later(max(0, at - self.now()) / SECOND, self.ring)

    def ring(self) -> None:
        self.timer = None
        if self.controller.stopping:
            return
        if (event := self.controller.due(self.now())) is not None:
            self.coordinator.policy_driver.submit(event)
        if (at := self.controller.next_at(self.now())) is not None:
            self.arm(at)

    def wake(self) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def pulse(self, limit: float) -> None:
        """Until something moved, or the time is over."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=limit)
        finally:
            self.waiters.discard(waiter)
