"""The group's front on a coordinator: the runtime API with a member behind it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from ambershift.coordinator.admin.words import Refused
from ambershift.coordinator.group.command_validator import CommandValidator
from ambershift.coordinator.group.desk_applier import DeskApplier
from ambershift.coordinator.group.group_commands import GroupCommands
from ambershift.coordinator.group.interference_worker import InterferenceWorker
from ambershift.coordinator.group.maintenance_task import MaintenanceTask
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.group.observation_exchange import ObservationExchange
from ambershift.coordinator.group.spec import spec_of
from ambershift.coordinator.group.standings import Others, standings
from ambershift.coordinator.group.startup import NoFolderError
from ambershift.coordinator.group.tap import AdmittedNames, GroupTap
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.words import Standing
from ambershift.coordinator.program.assembly import Coordinator
from ambershift.coordinator.program.configuration import BadStartError
from ambershift.coordinator.promises.machine import PromisesMachine
from ambershift.coordinator.runtime.changes import why_refused
from ambershift.coordinator.runtime.front import RuntimeFront
from ambershift.coordinator.runtime.places import TcpPlace, UnixPlace
from ambershift.coordinator.runtime.scene import Scene
from ambershift.coordinator.settings.checks import duration
from ambershift.coordinator.settings.group import Group
from ambershift.coordinator.settings.interference import Interference, part
from ambershift.coordinator.settings.maintenance import MaintenanceBlock, declared
from ambershift.coordinator.settings.model import Root

if TYPE_CHECKING:
    from ambershift.coordinator.interference.engine import Engine

LEARN_EVERY = 1_000_000_000
OPEN_WAIT = 3.0


class GroupService(RuntimeFront):
    """Steering never waits for the member: what it has not heard of the group yet is as if not wanted."""

    def __init__(
        self,
        coordinator: Coordinator,
        spots: Sequence[UnixPlace | TcpPlace],
        most: int,
        idle: int,
        version: str,
        root: Root,
        group: Group,
    ) -> None:
        super().__init__(coordinator, spots, most, idle, version)
        spec = spec_of(group)
        door, note = coordinator.admit.door, coordinator.book.note
        self.at_desk = DeskApplier(self.desk, door, self.now, spec.clock_ahead, self.moved)
        guard = CommandValidator(self.desk, door, self.now, partial(tell, self.scene), self.apart)
        seed = coordinator.start.seed ^ hash_of(spec.me)
        self.member = Member(spec, PromisesMachine(guard), self.at_desk, self.now, note, seed)
        gossip = self.member.gossip
        gossip.steered = lambda: len(self.desk.mirror.picture.seats)
        self.learned = ObservationExchange(
            gossip.store, AdmittedNames(coordinator.admit), coordinator.start.terms.cold, self.now()
        )
        self.learned_at = 0
        self.opening: asyncio.Future[None] | None = None
        gossip.news.append(self.learned.process_records)
        gossip.beats.append(self.learn)
        self.promises = GroupCommands(self.member, door.ids.__getitem__)
        self.scene.common = self.promises
        self.tap = GroupTap(self.desk, self.now, self.moved, self.at_desk, self.learned)
        terms, maintained = coordinator.start.terms, root.maintenance
        limits = Limits(clock_bound=spec.clock_bound, warm=terms.cold)
        if isinstance(maintained, MaintenanceBlock):
            limits = limits._replace(drain=duration(maintained.drain) or limits.drain)
        self.upkeep = MaintenanceTask(self.member, limits, declared(root.blocks), self.look)
        self.promises.maintained = self.upkeep.rows
        counted = root.interference if isinstance(root.interference, Interference) else Interference()
        self.counting = InterferenceWorker(
            self.member.gossip,
            partial(engine, spec.me, counted),
            lambda: list(door.indices),
            self.at_desk.ease,
            note,
        )
        self.member.counters_handler = self.counting.counters
        self.promises.interfered = lambda: list(self.counting.scores.rows)
        learned = self.learned
        self.others = Others(
            lambda server: server in learned.out,
            lambda server: server in learned.cut,
            lambda server: self.counting.scores.interfered.get(server, 0.0),
        )

    def learn(self, now: int) -> None:
        if now >= self.learned_at + LEARN_EVERY and not self.desk.stopping:
            self.learned_at = now
            for event in self.learned.exchange(now, self.desk.mirror.picture):
                self.coordinator.route.put(event)

    def look(self) -> dict[str, Standing]:
        return standings(
            self.desk, self.coordinator.admit.door, self.scene.zone_name, self.now(), self.others
        )

    def apart(self) -> bool:
        return self.member.gossip.clocks.apart(self.member.now())

    async def open(self) -> None:
        """What is set wrongly ends the start; a disk that hangs must not hold up the steering."""
        self.opening = asyncio.ensure_future(self.member.open())
        await asyncio.wait({self.opening}, timeout=OPEN_WAIT)
        if self.opening.done():
            try:
                self.opening.result()
            except NoFolderError as error:
                raise BadStartError(f"key 'group.folder': {error}") from None
            except OSError as error:
                await self.member.close()
                raise BadStartError(f"key 'group.listen': can't listen there ({error.strerror})") from None
        else:
            self.coordinator.book.note("group_slow_start", why="the folder is not read yet; steering goes on")
            self.opening.add_done_callback(self.opened_late)
        self.upkeep.open()
        self.counting.open()
        await super().open()

    def opened_late(self, opening: asyncio.Future[None]) -> None:
        if not opening.cancelled() and (error := opening.exception()) is not None:
            self.member.halt("disk-failed", str(error)[:200])

    async def close(self) -> None:
        """What waits for a promise is answered, then the rest as without a group."""
        self.upkeep.close()
        self.counting.close()
        self.member.stop()
        await asyncio.sleep(0)
        await super().close()
        if self.opening is not None:
            self.opening.cancel()
        await self.member.close()


def engine(me: str, block: Interference) -> Engine:
    from ambershift.coordinator.interference.engine import (
        Engine,  # Its libraries take tens of MB; few groups count.
    )

    return Engine(me, block.ease, part(block.ease_most) or 0.0, duration(block.interval) or 0)


def tell(scene: Scene, refused: Refused) -> str:
    return why_refused(scene, scene.view(), refused)


def hash_of(name: str) -> int:
    """The same at each start, other than `hash`."""
    value = 0
    for letter in name.encode():
        value = (value * 1_099_511_628_211 + letter) & ((1 << 64) - 1)
    return value
