"""A small simulated exchange: control nodes with real registries and controllers, on one chosen clock."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable, Iterable, Sequence
from itertools import count
from typing import Any

import msgspec

from ambershift.system.distribution.controller import Controller
from ambershift.system.interfaces import OutcomeUnknownError
from ambershift.system.messages import codec, proxy_link
from ambershift.system.messages.items import CLEARED_INSTANCES_KEY, INSTANCE, Item, cleared_instances, newest
from ambershift.system.registry.service import RegistryIO, RegistryService
from ambershift.system.settings.local import Bounds, Local
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
HEARTBEAT_INTERVAL_NS = 1500 * NS_PER_MS


class SimulatedReplicatedState:
    """Items as one control node holds them; `holds` False makes every put fail, `gate` delays it."""

    def __init__(self, world: SimulatedExchange, ip: str) -> None:
        self.world, self.ip, self.stored = world, ip, dict[Any, Item]()
        self.listeners = list[Callable[..., None]]()
        self.written, self.writes_succeed, self.write_gate = list[Item](), True, asyncio.Event()
        self.quorum_reads = 0
        self.write_gate.set()

    def merge(self, items: Iterable[Item]) -> None:
        newer = [
            one for one in items if (old := self.stored.get(one.key)) is None or newest(old, one) is not old
        ]
        self.stored |= {one.key: one for one in newer}
        cleared = self.stored.get(CLEARED_INSTANCES_KEY)
        for id in cleared_instances(cleared) if cleared else ():
            self.stored.pop((INSTANCE, id), None)
        for heard in self.listeners if newer else ():
            heard(newer)

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        await self.write_gate.wait()
        if not self.writes_succeed:
            raise OutcomeUnknownError("too few")
        self.written += items
        for ip in self.world.nodes:
            if ip == self.ip or (ip, self.ip) not in self.world.cut_links:
                self.world.nodes[ip].replicated_state.merge(items)

    async def read_quorum(self, timeout_s: float) -> None:
        await self.write_gate.wait()
        self.quorum_reads += 1
        if not self.writes_succeed:
            raise OutcomeUnknownError("too few")

    def items(self) -> dict[Any, Item]:
        return self.stored

    def subscribe(self, on_items: Callable[..., None]) -> None:
        self.listeners.append(on_items)

    def control_nodes(self) -> list[proxy_link.ControlNodeAddress]:
        return [proxy_link.ControlNodeAddress(ip, zone, ZONES[zone]) for ip, zone in self.world.zones.items()]

    def settled_voters(self) -> frozenset[str]:
        return frozenset(core.ip for core in self.control_nodes() if self.is_responsive(core.ip))

    def is_responsive(self, ip: str) -> bool:
        return self.is_alive(ip)

    def is_alive(self, ip: str) -> bool:
        return ip == self.ip or ip in self.world.zones and self.world.can_receive(self.ip, ip)

    def contact_age_ms(self) -> int:
        return 0 if self.has_quorum_contact() else 1 << 30

    def has_quorum_contact(self) -> bool:
        return 2 * sum(self.is_alive(ip) for ip in self.world.zones) > len(self.world.zones)


class ControlNode:
    def __init__(self, world: SimulatedExchange, ip: str) -> None:
        zone = world.zones[ip]
        settings = Local(
            "",
            ip,
            "core",
            ip,
            zone,
            ZONES[zone],
            True,
            True,
            None,
            (7000, 7001),
            (),
            {"Control": f"{ip}:8080"},
            ZONES,
            HEARTBEAT_INTERVAL_NS / NS_PER_SECOND,
            (1, 1, 1),
            Bounds(),
        )
        self.replicated_state, self.log_events = SimulatedReplicatedState(world, ip), list[tuple[int, Any]]()
        self.sent_to_proxies: dict[str, list[msgspec.Struct]] = {}  # To proxies.

        def log(number: int, fields: Any) -> None:
            self.log_events.append((number, fields))

        def send(to: str, message: msgspec.Struct) -> None:
            world.send(ip, to, message)

        def send_proxy(name: str, message: msgspec.Struct) -> None:
            self.sent_to_proxies.setdefault(name, []).append(codec.decode(codec.encode(message)))

        seed = next(world.seeds)
        self.registry = RegistryService(
            settings, self.replicated_state, RegistryIO(send, lambda: world.now, log), seed
        )
        self.controller = Controller(
            settings, self.replicated_state, self.registry, send_proxy, send, lambda: world.now, seed, log
        )

    def ready_ids(self) -> set[str]:
        return {id for id, life in self.registry.endpoints().items() if not life.draining}


class SimulatedExchange:
    """Control nodes with ips "1", "2".. in the zones given. Runs in the loop of `asyncio.run`."""

    def __init__(self, *zones: str) -> None:
        self.now, self.seeds, self.order = 1000 * NS_PER_SECOND, count(1), count()
        self.zones = {str(at): zone for at, zone in enumerate(zones, 1)}
        self.cut_links, self.stopped, self.paused = set[tuple[str, str]](), set[str](), set[str]()
        self.in_flight: list[tuple[int, int, str, str, bytes]] = []
        self.bytes_sent = 0
        self.reported_mean_ms = 0  # What proxies tell of answers' times, where not 0.
        self.nodes: dict[str, ControlNode] = {}
        self.backends: dict[str, tuple[str, dict[str, Any], int]] = {}  # Lives: keeper, body, next beat.
        self.proxies: dict[
            str, tuple[str, dict[str, int]]
        ] = {}  # Control node; requests a second for each pool.
        for ip in self.zones:
            self.start(ip)

    def start(self, ip: str) -> None:
        held = self.nodes[ip].replicated_state.stored if ip in self.nodes else {}
        self.nodes[ip] = ControlNode(self, ip)
        self.nodes[ip].replicated_state.merge(held.values())
        self.stopped.discard(ip)

    def can_receive(self, recipient: str, sender: str) -> bool:
        return (
            not {recipient, sender} & (self.stopped | self.paused)
            and (sender, recipient) not in self.cut_links
        )

    def send(self, sender: str, to: str, message: msgspec.Struct) -> None:
        data = codec.encode(message)
        self.bytes_sent += len(data)
        if self.can_receive(to, sender):
            heapq.heappush(self.in_flight, (self.now + 20 * NS_PER_MS, next(self.order), sender, to, data))

    def add_backend(
        self, id: str, service: str, zone: str, control_node: str, address: str = "", **condition: Any
    ) -> None:
        body = {
            "Address": address or f"{id}:80",
            "Information": {"Service": service, "ConfigVersion": "v1", "Zone": zone, "CapacitySlots": 4},
            "Condition": {"State": "ready", "Sequence": 0, "ColdRemainingMs": 0} | condition,
        }
        self.backends[id] = control_node, body, self.now

    async def send_heartbeat(
        self, id: str, control_node: str | None = None, **condition: Any
    ) -> tuple[int, dict[str, Any]]:
        known, body, _ = self.backends[id]
        body["Condition"]["Sequence"] += 1
        body["Condition"] |= condition
        self.backends[id] = control_node or known, body, self.now + HEARTBEAT_INTERVAL_NS
        return await self.nodes[control_node or known].registry.heartbeat(id, msgspec.json.encode(body))

    def connect_proxy(
        self, name: str, ip: str, zone: str, ready: bool = True, leaving: bool = False, **rates: int
    ) -> list[msgspec.Struct]:
        """A proxy says Hello on a link to a control node. Returns what it will have been sent."""
        self.proxies[name] = ip, rates
        hello = proxy_link.Hello(name, "x", zone, f"{name}:80", ready, leaving)
        sent = self.nodes[ip].sent_to_proxies.setdefault(name, [])
        self.nodes[ip].controller.hear_proxy(name, hello)
        return sent

    def disconnect_proxy(self, name: str) -> None:
        ip, _ = self.proxies.pop(name)
        self.nodes[ip].controller.proxy_lost(name)

    def _send_proxy_messages(self) -> None:
        for name, (ip, rates) in self.proxies.items():
            if ip not in self.stopped | self.paused:
                hear = self.nodes[ip].controller.hear_proxy
                for one in list(self.nodes[ip].sent_to_proxies.get(name, ())):
                    if isinstance(one, proxy_link.Barrier):
                        hear(name, one)
                if self.now % NS_PER_SECOND == 0:
                    met = tuple(
                        proxy_link.BackendLoad(id, 20, 0, self.reported_mean_ms)
                        for id in list(self.backends)[:1]
                    )
                    hear(name, proxy_link.LoadReport(1000, rates, met if self.reported_mean_ms else ()))

    async def run(self, seconds: float) -> None:
        until = self.now + int(seconds * NS_PER_SECOND)
        while self.now < until:
            self.now += 50 * NS_PER_MS
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, sender, to, data = heapq.heappop(self.in_flight)
                if self.can_receive(to, sender):
                    self.nodes[to].registry.receive(sender, codec.decode(data))
            for id, (keeper, _, due) in list(self.backends.items()):
                if due <= self.now and keeper not in self.stopped | self.paused:
                    await self.send_heartbeat(id)
            self._send_proxy_messages()
            for ip, node in self.nodes.items():
                if ip not in self.stopped | self.paused:
                    node.registry.tick()
                    node.controller.tick()
            await asyncio.sleep(0)
