"""Faults as they come and end, and the budget: how many voters may have lost what they vouched for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ambershift.coordinator.groupsim.folder import Folder
from ambershift.coordinator.groupsim.plan import SECOND, Fault, Trouble
from ambershift.coordinator.replication.types import Status

if TYPE_CHECKING:
    from ambershift.coordinator.groupsim.process import Process
    from ambershift.coordinator.groupsim.world import World


class Faults:
    def __init__(self, world: World) -> None:
        self.world = world
        self.cuts = list[tuple[str, str]]()

    def begin(self, fault: Fault) -> None:
        world = self.world
        first = world.processes.get(fault.who[0])
        if not world.plan.beyond and any(one.behind for one in world.processes.values()):
            world.count("beside an old copy, left out")
            return
        match fault.kind:
            case Trouble.CUT:
                self.cut([(fault.who[0], other) for other in fault.who[1:]], fault)
            case Trouble.SPLIT:
                parts = [part.split(",") for part in fault.who]
                self.cut(
                    [
                        (one, other)
                        for part in parts
                        for one in part
                        for others in parts
                        if others is not part
                        for other in others
                    ],
                    fault,
                )
            case Trouble.BREAK:
                for other in fault.who[1:]:
                    world.network.breaks(fault.who[0], other)
            case Trouble.CLOCK:
                assert first is not None
                first.wall = (fault.much - 500) * SECOND // 250
            case Trouble.STOP:
                assert first is not None
                if first.up:
                    first.stop(True)
                    world.at(world.now + fault.lasts, self.goes_on, first, first.runs)
            case _:
                assert first is not None
                self.crash(first, fault)

    def cut(self, ways: list[tuple[str, str]], fault: Fault) -> None:
        self.world.tell("world", f"cut: {' '.join('>'.join(way) for way in ways)}")
        self.world.count(fault.kind.value)
        for way in ways:
            self.world.network.cut(way, 1)
        self.cuts += ways
        self.world.at(self.world.now + fault.lasts, self.heal, ways)

    def heal(self, ways: list[tuple[str, str]]) -> None:
        for way in ways:
            if way in self.cuts:
                self.cuts.remove(way)
                self.world.network.cut(way, -1)

    def goes_on(self, process: Process, run: int) -> None:
        if process.stopped and process.runs == run:
            process.stop(False)

    def lost(self) -> set[str]:
        """Voters that vouch for nothing now, or for less than they did."""
        return {one.name for one in self.world.processes.values() if one.voter and not one.holds()}

    def allowed(self, process: Process, old: bool) -> bool:
        """Whether the promise still bears that this voter forgets what it holds. An old copy is told from a
        whole folder only by what others know: they must be there, and it must hear them.
        """
        if self.world.plan.beyond or not process.voter:
            return True
        if old and (
            self.cuts
            or not all(
                one.up and one.replica and one.replica.status is Status.NORMAL
                for one in self.world.processes.values()
                if one.voter
            )
        ):
            return False
        return len(self.lost() | {process.name}) <= (len(self.world.plan.voters) - 1) // 2

    def crash(self, process: Process, fault: Fault) -> None:
        if process.replica is None:
            return
        forgets = fault.kind is not Trouble.CRASH or process.folder is None or not process.folder.newest()
        if forgets and not self.allowed(process, fault.kind is Trouble.OLD):
            self.world.count("beyond the promise, left out")
            return
        self.world.count(fault.kind.value)
        vouched, before = process.folder.newest() if process.folder is not None else 0, process.behind
        process.crash(fault.much)
        if process.folder is not None and fault.kind is Trouble.LOSE:
            process.folder, process.behind = Folder(), 0
        elif process.folder is not None and fault.kind is Trouble.OLD:
            old = Folder()
            old.synced = process.folder.synced[: 1 + len(process.folder.synced) * fault.much // 1000]
            process.folder, process.behind = old, max(before, vouched if old.newest() < vouched else 0)
            self.world.tell(process.name, f"an old copy of its folder, up to entry {old.newest()}")
        self.world.at(self.world.now + fault.lasts, self.starts, process, process.runs)

    def starts(self, process: Process, run: int) -> None:
        if process.replica is None and process.runs == run:
            process.start()

    def end_all(self) -> None:
        self.cuts.clear()
        self.world.network.calm()
        for process in self.world.processes.values():
            process.wall = 0
            if process.stopped:
                process.stop(False)
            if process.replica is None or process.halted is not None:
                process.start()
