"""Control nodes with real registries and controllers on simulated links and one virtual clock."""

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
from ambershift.system.messages.items import (
    COLLECTED_INSTANCES_KEY,
    INSTANCE,
    Item,
    collected_instance_ids,
    newest,
)
from ambershift.system.registry.service import RegistryIO, RegistryService
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND
from tests.support.local_settings import control_node_settings

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
HEARTBEAT_INTERVAL_NS = 1500 * NS_PER_MS
LINK_LATENCY_NS = 20 * NS_PER_MS


class SimulatedReplicatedState:
    """The replicated items as one control node has stored them, in place of `consensus/`.

    Attributes:
        stored: Items by key.
        listeners: Called with each batch of items that has become newer here.
        written: All items written through this control node.
        writes_succeed: False makes each write and each quorum read fail.
        write_gate: While it is cleared, writes and quorum reads wait.
        quorum_reads: How many there have been.
    """

    def __init__(self, world: SimulatedExchange, ip: str) -> None:
        self.world = world
        self.ip = ip
        self.stored = dict[Any, Item]()
        self.listeners = list[Callable[..., None]]()
        self.written = list[Item]()
        self.writes_succeed = True
        self.write_gate = asyncio.Event()
        self.quorum_reads = 0
        self.write_gate.set()

    def merge(self, items: Iterable[Item]) -> None:
        newer = [
            item
            for item in items
            if (old := self.stored.get(item.key)) is None or newest(old, item) is not old
        ]
        self.stored |= {item.key: item for item in newer}
        collected = self.stored.get(COLLECTED_INSTANCES_KEY)
        for id in collected_instance_ids(collected) if collected else ():
            self.stored.pop((INSTANCE, id), None)
        for listener in self.listeners if newer else ():
            listener(newer)

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        await self.write_gate.wait()
        if not self.writes_succeed:
            raise OutcomeUnknownError("too few voters answered")
        self.written += items
        for ip in self.world.nodes:
            if ip == self.ip or (ip, self.ip) not in self.world.cut_links:
                self.world.nodes[ip].replicated_state.merge(items)

    async def read_quorum(self, timeout_s: float) -> None:
        await self.write_gate.wait()
        self.quorum_reads += 1
        if not self.writes_succeed:
            raise OutcomeUnknownError("too few voters answered")

    def items(self) -> dict[Any, Item]:
        return self.stored

    def subscribe(self, on_items: Callable[..., None]) -> None:
        self.listeners.append(on_items)

    def control_nodes(self) -> list[proxy_link.ControlNodeAddress]:
        return [proxy_link.ControlNodeAddress(ip, zone, ZONES[zone]) for ip, zone in self.world.zones.items()]

    def settled_voters(self) -> frozenset[str]:
        return frozenset(node.ip for node in self.control_nodes() if self.is_responsive(node.ip))

    def is_responsive(self, ip: str) -> bool:
        return self.is_alive(ip)

    def is_alive(self, ip: str) -> bool:
        return ip == self.ip or (ip in self.world.zones and self.world.can_receive(self.ip, ip))

    def contact_age_ms(self) -> int:
        return 0 if self.has_quorum_contact() else 1 << 30

    def has_quorum_contact(self) -> bool:
        return 2 * sum(self.is_alive(ip) for ip in self.world.zones) > len(self.world.zones)


class ControlNode:
    """One control node's registry and controller.

    Attributes:
        replicated_state: What it has stored.
        log_events: Number and fields of each event that it has logged.
        sent_to_proxies: Messages, by the proxy's name.
        registry: Its registry service.
        controller: Its controller.
    """

    def __init__(self, world: SimulatedExchange, ip: str) -> None:
        zone = world.zones[ip]
        settings = control_node_settings(
            ip,
            zone=zone,
            region=ZONES[zone],
            listen_addresses={"Control": f"{ip}:8080"},
            zones=ZONES,
            heartbeat_interval_s=HEARTBEAT_INTERVAL_NS / NS_PER_SECOND,
        )
        self.replicated_state = SimulatedReplicatedState(world, ip)
        self.log_events = list[tuple[int, Any]]()
        self.sent_to_proxies: dict[str, list[msgspec.Struct]] = {}

        def log(number: int, fields: Any) -> None:
            self.log_events.append((number, fields))

        def send(recipient: str, message: msgspec.Struct) -> None:
            world.send(ip, recipient, message)

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
        """Return the ids of endpoints that don't drain."""
        return {id for id, endpoint in self.registry.endpoints().items() if not endpoint.draining}


class SimulatedExchange:
    """Control nodes with ips "1", "2".. in the zones given. It needs a running event loop.

    Attributes:
        now: Time of all steady clocks (ns).
        zones: Zone of each control node, by ip.
        cut_links: Sender and recipient of links that lose all messages.
        stopped: Ips of control nodes that have ended.
        paused: Ips of control nodes whose process is paused.
        in_flight: Messages on the way: arrival (ns), order of sending, sender, recipient and bytes.
        bytes_sent: Bytes sent between control nodes.
        reported_mean_ms: Mean latency in the proxies' load reports (ms); 0: they report no backend.
        backends: By id: the control node of its heartbeats, their body, and when the next is due (ns).
        proxies: By name: control node, and requests a second for each pool.
    """

    def __init__(self, *zones: str) -> None:
        self.now = 1000 * NS_PER_SECOND
        self.seeds = count(1)
        self.order = count()
        self.zones = {str(number): zone for number, zone in enumerate(zones, 1)}
        self.cut_links = set[tuple[str, str]]()
        self.stopped = set[str]()
        self.paused = set[str]()
        self.in_flight: list[tuple[int, int, str, str, bytes]] = []
        self.bytes_sent = 0
        self.reported_mean_ms = 0
        self.nodes: dict[str, ControlNode] = {}
        self.backends: dict[str, tuple[str, dict[str, Any], int]] = {}
        self.proxies: dict[str, tuple[str, dict[str, int]]] = {}
        for ip in self.zones:
            self.start(ip)

    def start(self, ip: str) -> None:
        """Start or restart the process of a control node; it keeps what it has stored."""
        stored = self.nodes[ip].replicated_state.stored if ip in self.nodes else {}
        self.nodes[ip] = ControlNode(self, ip)
        self.nodes[ip].replicated_state.merge(stored.values())
        self.stopped.discard(ip)

    def can_receive(self, recipient: str, sender: str) -> bool:
        """Tell whether a message would arrive now."""
        return (
            not {recipient, sender} & (self.stopped | self.paused)
            and (sender, recipient) not in self.cut_links
        )

    def send(self, sender: str, recipient: str, message: msgspec.Struct) -> None:
        """Send a message between control nodes; it takes `LINK_LATENCY_NS`, or is lost."""
        data = codec.encode(message)
        self.bytes_sent += len(data)
        if self.can_receive(recipient, sender):
            arrival = self.now + LINK_LATENCY_NS
            heapq.heappush(self.in_flight, (arrival, next(self.order), sender, recipient, data))

    def add_backend(
        self, id: str, service: str, zone: str, control_node: str, address: str = "", **condition: Any
    ) -> None:
        """Start a backend that sends heartbeats to this control node; `condition` are fields of theirs."""
        body = {
            "Address": address or f"{id}:80",
            "Information": {"Service": service, "ConfigVersion": "v1", "Zone": zone, "CapacitySlots": 4},
            "Condition": {"State": "ready", "Sequence": 0, "ColdRemainingMs": 0} | condition,
        }
        self.backends[id] = control_node, body, self.now

    async def send_heartbeat(
        self, id: str, control_node: str | None = None, **condition: Any
    ) -> tuple[int, dict[str, Any]]:
        """Send a backend's next heartbeat now, from then on to `control_node` if one is given.

        Returns:
            HTTP status and body of the response.
        """
        current, body, _ = self.backends[id]
        control_node = control_node or current
        body["Condition"]["Sequence"] += 1
        body["Condition"] |= condition
        self.backends[id] = control_node, body, self.now + HEARTBEAT_INTERVAL_NS
        return await self.nodes[control_node].registry.heartbeat(id, msgspec.json.encode(body))

    def connect_proxy(
        self, name: str, ip: str, zone: str, ready: bool = True, leaving: bool = False, **rates: int
    ) -> list[msgspec.Struct]:
        """Let a proxy say `Hello` on a link to a control node.

        Returns:
            The messages that it is sent, now and later.
        """
        self.proxies[name] = ip, rates
        hello = proxy_link.Hello(name, "x", zone, f"{name}:80", ready, leaving)
        sent = self.nodes[ip].sent_to_proxies.setdefault(name, [])
        self.nodes[ip].controller.receive_from_proxy(name, hello)
        return sent

    def disconnect_proxy(self, name: str) -> None:
        """End the link of a proxy."""
        ip, _ = self.proxies.pop(name)
        self.nodes[ip].controller.proxy_lost(name)

    def _send_proxy_messages(self) -> None:
        for name, (ip, rates) in self.proxies.items():
            if ip not in self.stopped | self.paused:
                receive = self.nodes[ip].controller.receive_from_proxy
                for message in list(self.nodes[ip].sent_to_proxies.get(name, ())):
                    if isinstance(message, proxy_link.Barrier):
                        receive(name, message)
                if self.now % NS_PER_SECOND == 0:
                    loads = tuple(
                        proxy_link.BackendLoad(id, 20, 0, self.reported_mean_ms)
                        for id in list(self.backends)[:1]
                    )
                    receive(name, proxy_link.LoadReport(1000, rates, loads if self.reported_mean_ms else ()))

    async def run(self, seconds: float) -> None:
        """Let time pass in ticks of 50 ms."""
        until = self.now + int(seconds * NS_PER_SECOND)
        while self.now < until:
            self.now += 50 * NS_PER_MS
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, sender, recipient, data = heapq.heappop(self.in_flight)
                if self.can_receive(recipient, sender):
                    self.nodes[recipient].registry.receive(sender, codec.decode(data))
            for id, (control_node, _, due) in list(self.backends.items()):
                if due <= self.now and control_node not in self.stopped | self.paused:
                    await self.send_heartbeat(id)
            self._send_proxy_messages()
            for ip, node in self.nodes.items():
                if ip not in self.stopped | self.paused:
                    node.registry.tick()
                    node.controller.tick()
            await asyncio.sleep(0)
