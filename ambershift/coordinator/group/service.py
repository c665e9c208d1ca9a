"""The runtime API of a coordinator that is a member of a group."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from ambershift.coordinator.admin.types import Refused
from ambershift.coordinator.group.command_validator import CommandValidator
from ambershift.coordinator.group.desk_applier import DeskApplier
from ambershift.coordinator.group.group_commands import GroupCommands
from ambershift.coordinator.group.interference_worker import InterferenceWorker
from ambershift.coordinator.group.maintenance_task import MaintenanceTask
from ambershift.coordinator.group.member import Member
from ambershift.coordinator.group.observation_exchange import ObservationExchange
from ambershift.coordinator.group.spec import spec_of
from ambershift.coordinator.group.standings import GroupObservations, standings
from ambershift.coordinator.group.startup import NoFolderError
from ambershift.coordinator.group.tap import AdmittedNames, GroupTap
from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.types import Standing
from ambershift.coordinator.program.assembly import Coordinator
from ambershift.coordinator.program.configuration import ConfigurationError
from ambershift.coordinator.promises.state_machine import GroupStateMachine
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

EXCHANGE_INTERVAL_NS = 1_000_000_000
OPEN_TIMEOUT_S = 3.0  # After it the coordinator steers without its member, which opens later.
MAX_ERROR_LENGTH = 200
FNV_PRIME = 1_099_511_628_211
UINT64_MASK = (1 << 64) - 1


class GroupService(RuntimeFront):
    """Runs the member of a group beside the coordinator.

    The steering of proxies never waits for the member: wishes that it hasn't received yet don't count.
    """

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
        """Assemble the member and all that works with it; `open` starts them.

        Args:
            coordinator: The coordinator.
            spots: Where the runtime API listens.
            most: How many connections it may have.
            idle: How long one may be silent, ns.
            version: The version of the program.
            root: All settings.
            group: The group's settings.
        """
        super().__init__(coordinator, spots, most, idle, version)
        spec = spec_of(group)
        server_index = coordinator.admission.server_index
        note = coordinator.event_log.record
        start = coordinator.config
        self.desk_applier = DeskApplier(self.controller, server_index, self.now, spec.clock_ahead, self.moved)
        validator = CommandValidator(
            self.controller,
            server_index,
            self.now,
            partial(_describe_refusal, self.scene),
            self._is_clock_skewed,
        )
        seed = start.seed ^ _stable_hash(spec.name)
        self.member = Member(spec, GroupStateMachine(validator), self.desk_applier, self.now, note, seed)
        gossip = self.member.gossip
        gossip.count_steered = lambda: len(self.controller.tracker.data_plane.proxies)
        self.observation_exchange = ObservationExchange(
            gossip.store, AdmittedNames(coordinator.admission), start.policy_settings.cold, self.now()
        )
        self._exchanged_at = 0
        self._opening: asyncio.Future[None] | None = None
        gossip.record_listeners.append(self.observation_exchange.process_records)
        gossip.round_listeners.append(self._exchange_observations)
        self.commands = GroupCommands(self.member, server_index.ids.__getitem__)
        self.scene.common = self.commands
        self.tap = GroupTap(
            self.controller, self.now, self.moved, self.desk_applier, self.observation_exchange
        )
        limits = Limits(clock_bound_ns=spec.clock_bound, warmup_ns=start.policy_settings.cold)
        if isinstance(root.maintenance, MaintenanceBlock):
            limits = limits._replace(drain_ns=duration(root.maintenance.drain) or limits.drain_ns)
        self.maintenance_task = MaintenanceTask(
            self.member, limits, declared(root.blocks), self._server_standings
        )
        self.commands.maintenance_rows = self.maintenance_task.rows
        interference = root.interference if isinstance(root.interference, Interference) else Interference()
        self.interference_worker = InterferenceWorker(
            self.member.gossip,
            partial(_make_engine, spec.name, interference),
            lambda: list(server_index.indices),
            self.desk_applier.ease,
            note,
        )
        self.member.counters_handler = self.interference_worker.on_counters
        self.commands.interference_rows = lambda: list(self.interference_worker.scores.rows)
        exchange = self.observation_exchange
        self._group_observations = GroupObservations(
            lambda server: server in exchange.failing,
            lambda server: server in exchange.failing_for_some,
            lambda server: self.interference_worker.scores.interfered.get(server, 0.0),
        )

    def _exchange_observations(self, now: int) -> None:
        if now >= self._exchanged_at + EXCHANGE_INTERVAL_NS and not self.controller.stopping:
            self._exchanged_at = now
            for event in self.observation_exchange.exchange(now, self.controller.tracker.data_plane):
                self.coordinator.policy_driver.submit(event)

    def _server_standings(self) -> dict[str, Standing]:
        return standings(
            self.controller,
            self.coordinator.admission.server_index,
            self.scene.zone_name,
            self.now(),
            self._group_observations,
        )

    def _is_clock_skewed(self) -> bool:
        return self.member.gossip.clock_skew.exceeds_bound(self.member.now())

    async def open(self) -> None:
        """Start the member and the runtime API; a disk that hangs doesn't hold up the steering of proxies.

        Raises:
            ConfigurationError: The folder or the address in the settings can't be used.
        """
        self._opening = asyncio.ensure_future(self.member.open())
        await asyncio.wait({self._opening}, timeout=OPEN_TIMEOUT_S)
        if self._opening.done():
            try:
                self._opening.result()
            except NoFolderError as error:
                raise ConfigurationError(f"key 'group.folder': {error}") from None
            except OSError as error:
                await self.member.close()
                raise ConfigurationError(
                    f"key 'group.listen': can't listen there ({error.strerror})"
                ) from None
        else:
            self.coordinator.event_log.record(
                "group_slow_start", why="the folder is not read yet; steering goes on"
            )
            self._opening.add_done_callback(self._on_late_open)
        self.maintenance_task.open()
        self.interference_worker.open()
        await super().open()

    def _on_late_open(self, opening: asyncio.Future[None]) -> None:
        if not opening.cancelled() and (error := opening.exception()) is not None:
            self.member.halt("disk-failed", str(error)[:MAX_ERROR_LENGTH])

    async def close(self) -> None:
        """Answer the commands that wait for the group, then close as without a group."""
        self.maintenance_task.close()
        self.interference_worker.close()
        self.member.stop()
        await asyncio.sleep(0)
        await super().close()
        if self._opening is not None:
            self._opening.cancel()
        await self.member.close()


def _make_engine(member: str, block: Interference) -> Engine:
    # Imported here as its libraries take tens of MB, and few groups use it.
    from ambershift.coordinator.interference.engine import Engine

    return Engine(member, block.ease, part(block.ease_most) or 0.0, duration(block.interval) or 0)


def _describe_refusal(scene: Scene, refused: Refused) -> str:
    return why_refused(scene, scene.view(), refused)


def _stable_hash(name: str) -> int:
    """Return a hash that is the same at each start, unlike `hash`."""
    value = 0
    for byte in name.encode():
        value = (value * FNV_PRIME + byte) & UINT64_MASK
    return value
