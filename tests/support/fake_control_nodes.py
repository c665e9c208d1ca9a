"""A cluster for tests of the control API, in virtual time; all nodes share one store."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ambershift.system.control_api.application import ControlApi
from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.proposer_selection import rendezvous_score
from ambershift.system.interfaces import ChangeFunction, NotAppliedError, OutcomeUnknownError
from ambershift.system.messages.codec import decode, encode
from ambershift.system.messages.items import Item, Key, newest
from ambershift.system.messages.proxy_link import ControlNodeAddress
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.local_settings import control_node_settings

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ONE_WAY_DELAY_S = 0.035
NEVER_S = 1e6


def proposer_ranking(register: str) -> list[str]:
    """The ips of the nodes as they are to propose for a register, the first choice first."""
    return sorted(IPS, key=lambda ip: rendezvous_score(ip, register))


class _TimeJumpingSelector(selectors.SelectSelector):
    """Never waits: the clock jumps to the next timer instead."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits, and no timer is set")
        self.loop.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is `now` (seconds)."""

    def __init__(self) -> None:
        self.now = 1000.0
        selector = _TimeJumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


class FakeCluster:
    """Three control nodes.

    Attributes:
        registers: The agreed value of each register.
        items: The replicated items, as a majority has them.
        unreachable_since: Since when (seconds) a node neither sends nor receives, by ip.
        unsettled: The nodes that have just come back, by ip.
        sent: All messages sent: sender, recipient and message.
        logged: All log lines: the node's ip, the number of the event and its fields.
    """

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.registers: dict[str, bytes] = {}
        self.items: dict[Key, Item] = {}
        self.unreachable_since: dict[str, float] = {}
        self.unsettled: set[str] = set()
        self.sent: list[tuple[str, str, msgspec.Struct]] = []
        self.logged: list[tuple[str, int, dict[str, Any]]] = []
        self.stores = {ip: FakeReplicatedState(self, ip) for ip in IPS}
        self.registry = FakeRegistry()
        self.nodes = {
            ip: ControlApi(
                _settings_of(ip),
                NodeContext(
                    ip=ip,
                    store=self.stores[ip],
                    monotonic_ns=self.monotonic_ns,
                    send=self._sender(ip),
                    log=lambda number, fields, ip=ip: self.logged.append((ip, number, fields)),
                ),
                self.registry,
                number << 40,
            )
            for number, ip in enumerate(IPS)
        }

    def partition(self, *ips: str) -> None:
        """Make these nodes, and no others, unreachable from now on."""
        self.unreachable_since = {ip: self.loop.now for ip in ips}

    def monotonic_ns(self) -> int:
        return round(self.loop.now * NS_PER_SECOND)

    def _sender(self, sender: str) -> Callable[[str, msgspec.Struct], None]:
        def send(recipient: str, message: msgspec.Struct) -> None:
            self.sent.append((sender, recipient, message))

            def deliver() -> None:
                if not {sender, recipient} & self.unreachable_since.keys():
                    self.nodes[recipient].handle_message(sender, decode(encode(message)))

            if sender not in self.unreachable_since:
                self.loop.call_later(ONE_WAY_DELAY_S, deliver)

        return send

    async def call(
        self, ip: str, method: str, target: str, body: Any = b"", closed_after_s: float = NEVER_S
    ) -> tuple[int, Any]:
        """Make a call by HTTP.

        Args:
            ip: The node.
            method: The HTTP method.
            target: Path and query.
            body: Sent as it is if it is bytes, else as JSON.
            closed_after_s: When the node learns that the client has closed the connection, counted from
                when it has read the request.

        Returns:
            The status of the response (0: there was none) and its decoded body (None: it was empty).
        """
        path, _, query = target.partition("?")
        encoded_body = body if isinstance(body, bytes) else msgspec.json.encode(body)
        pending = [{"type": "http.request", "body": encoded_body}]
        messages: list[Any] = []

        async def receive() -> Any:
            if not pending:
                await asyncio.sleep(closed_after_s)
                return {"type": "http.disconnect"}
            return pending.pop()

        async def send(message: Any) -> None:
            messages.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [],
        }
        await self.nodes[ip](scope, receive, send)
        if not messages:
            return 0, None
        response_body = messages[1]["body"]
        return messages[0]["status"], msgspec.json.decode(response_body) if response_body else None

    async def rpc(
        self, ip: str, name: str, of: str = "", body: Any = b"", closed_after_s: float = NEVER_S
    ) -> tuple[int, Any]:
        return await self.call(ip, "POST", f"/ambershift/rpc?call={name}&of={of}", body, closed_after_s)


class FakeRegistry:
    def __init__(self) -> None:
        self.heartbeats: list[tuple[str, Any]] = []

    async def heartbeat(self, id: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.heartbeats.append((id, body))
        return 200, {}

    async def deregister(self, id: str) -> tuple[int, dict[str, Any]]:
        return 200, {}

    def proxy_addresses(self, region: str, zone: str, host: str) -> Sequence[str]:
        return [f"10.1.0.{number}:8641" for number in range(100)] if region == "riga" else []


class FakeReplicatedState:
    """One node's view of the store.

    Attributes:
        faults: The faults of the next calls, in order:
            "refused": not applied, and reported so.
            "unclear": applied, but reported as unknown.
            "lost": not applied, and reported as unknown.
            "again": applied by the first run of the change function, which is run once more then.
            "hangs": a change that is not applied, and is reported as unknown after the time-out.
            "": no fault.
        rounds: How many changes were proposed.
        since: The last value of each register, and since when it has it.
    """

    def __init__(self, cluster: FakeCluster, ip: str) -> None:
        self.cluster, self.ip = cluster, ip
        self.faults: list[str] = []
        self.has_contact = True
        self.stored_items: dict[Key, Item] = {}
        self.rounds = 0
        self.since: dict[str, tuple[bytes | None, int]] = {}

    async def change(self, register: str, change: ChangeFunction, timeout_s: float) -> Any:
        assert timeout_s > 0
        self.rounds += 1
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "refused":
            raise NotAppliedError("refused")
        lost = fault in ("hangs", "lost") or self.ip in self.cluster.unreachable_since
        await asyncio.sleep(ONE_WAY_DELAY_S if fault == "lost" or not lost else timeout_s)
        if lost:
            raise OutcomeUnknownError("lost")
        for _ in range(2 if fault == "again" else 1):
            value = self.cluster.registers.get(register)
            now = self.cluster.monotonic_ns()
            if register not in self.since or self.since[register][0] != value:
                self.since[register] = value, now
            outcome = change(value, self.since[register][1], now)
            if outcome.new_value is not None:
                assert outcome.new_value != value
                self.cluster.registers[register] = outcome.new_value
                self.since[register] = outcome.new_value, now
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if fault == "unclear":
            raise OutcomeUnknownError("unclear")
        return outcome.result

    async def write(self, items: Sequence[Item], timeout_s: float) -> None:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "refused":
            raise NotAppliedError("refused")
        for item in items if fault != "lost" else ():
            for stored in (self.stored_items, self.cluster.items):
                stored[item.key] = newest(item, stored.get(item.key, item))
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if fault:
            raise OutcomeUnknownError(fault)

    async def read_quorum(self, timeout_s: float) -> None:
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        fault = self.faults.pop(0) if self.faults else ""
        if fault:
            raise OutcomeUnknownError(fault)
        self.stored_items = dict(self.cluster.items)

    def items(self) -> dict[Key, Item]:
        return self.stored_items

    def subscribe(self, on_items: Callable[[Sequence[Item]], None]) -> None:
        raise NotImplementedError

    def control_nodes(self) -> Sequence[ControlNodeAddress]:
        return [ControlNodeAddress(ip, f"zone-{ip}", "riga") for ip in IPS]

    def membership_status(self) -> msgspec.Struct | None:
        return None

    def has_quorum_contact(self) -> bool:
        return self.has_contact

    def settled_voters(self) -> frozenset[str]:
        return frozenset(ip for ip in IPS if self.is_responsive(ip) and ip not in self.cluster.unsettled)

    def is_responsive(self, ip: str) -> bool:
        return self.cluster.loop.now - self.cluster.unreachable_since.get(ip, self.cluster.loop.now) < 0.3

    def is_alive(self, ip: str) -> bool:
        return True


def _settings_of(ip: str) -> ProcessSettings:
    zones = {"riga-a": "riga", "riga-b": "riga"}
    return control_node_settings(ip, zone="riga-a", region="riga", zones=zones)
