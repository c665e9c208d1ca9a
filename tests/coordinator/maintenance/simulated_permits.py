"""A simulated group that grants permits, second by second in virtual time, with independent checks.

The log is one list to which commands are appended late, twice or never; members learn of it with a lag. Two
members may believe that they lead. Servers restart for their work, fail by themselves, and leave the list.
"""

import random
from datetime import UTC, datetime

from ambershift.coordinator.maintenance.limits import Limits
from ambershift.coordinator.maintenance.permits import MemberReports, SteeringReport, is_clock_skewed
from ambershift.coordinator.maintenance.types import (
    Agreement,
    Declared,
    Phase,
    Standing,
    Tenant,
    Trouble,
    Window,
    Work,
)
from ambershift.coordinator.promises.codec import decode_outcome, encode_command
from ambershift.coordinator.promises.commands import Command, Declare, Grant
from ambershift.coordinator.promises.permit_controller import PermitController
from ambershift.coordinator.promises.state import EMPTY, GroupState
from ambershift.coordinator.promises.state_machine import GroupStateMachine
from ambershift.coordinator.replication.types import Entry

S = 1_000_000_000
OPENS = int(datetime(2026, 12, 2, 1, 0, tzinfo=UTC).timestamp())
LIMITS = Limits(
    clock_bound_ns=S,
    drain_ns=20 * S,
    warmup_ns=15 * S,
    report_timeout_ns=20 * S,
    retry_delay_ns=5 * 60 * S,
    return_timeout_ns=60 * S,
)


class Server:
    """A server: `up` if it runs, `since` when it started, `ill` if it failed by itself."""

    def __init__(self, name: str, zone: str, weight: float) -> None:
        self.name, self.zone, self.weight = name, zone, weight
        self.up, self.since, self.ill, self.listed, self.wished = True, 0, False, True, False
        self.interfered, self.back_at = 0.0, 0

    def trouble(self, at: int) -> Trouble | None:
        if not self.listed:
            return Trouble.LISTED_OUT
        if self.wished:
            return Trouble.WISHED_OUT
        if self.ill or not self.up:
            return Trouble.ILL
        return Trouble.COLD if at < self.since + LIMITS.warmup_ns // S else None


class Member:
    def __init__(self, name: str, offset: int) -> None:
        self.name, self.offset, self.state, self.known = name, offset, EMPTY, 0
        self.alive, self.lag, self.controller, self.leads = True, 0, PermitController(LIMITS), False
        self.out_since = dict[str, int]()  # By permit, since when it keeps the server out.
        self.slow = 5
        self.proxies, self.silent_since = 3, 0


class Group:
    """The group; `at` is true time in seconds, from which the members' clocks differ by their offsets."""

    def __init__(
        self, rng: random.Random, declared: Declared, servers: dict[str, Server], offsets: list[int]
    ) -> None:
        self.rng, self.at, self.servers = rng, OPENS - 120, servers
        self.machine, self.log = GroupStateMachine(), list[Entry]()
        self.states = [EMPTY]
        self.members = [Member(f"n{i}", offset) for i, offset in enumerate(offsets)]
        self.wire = list[tuple[int, int, bytes]]()
        self.wrong, self.granted, self.restarting = list[str](), list[tuple[int, str]](), dict[str, int]()
        self.fault_at, self.refused = 0, 0
        self.write(encode_command(Declare(declared)), self.at * S)

    @property
    def state(self) -> GroupState:
        return self.states[-1]

    def write(self, command: bytes, at: int) -> None:
        self.log.append(Entry(1, len(self.log) + 1, at, "", command))
        state, answer = self.machine.apply(self.state, self.log[-1])
        before = self.state
        self.states.append(state)
        self.refused += not decode_outcome(answer).done
        for name in state.permits:
            if name not in before.permits:
                self.grants(name, before)

    # Checks

    def grants(self, name: str, before: GroupState) -> None:
        """Check that at the moment of a grant every agreement holds, the granted server counted as out."""
        permit = self.state.permits[name].permit
        out = {held.permit.server for held in self.state.permits.values()}
        for tenant in self.state.declared.tenants:
            mine = [one for one in self.servers.values() if not tenant.zones or one.zone in tenant.zones]
            if permit.server not in [one.name for one in mine]:
                continue
            # The leader that granted can't know of a fault just before.
            if self.at <= self.fault_at + 4:
                continue
            if lack := self.lack(tenant, out):
                self.wrong.append(f"{self.at - OPENS}: {name} granted: {lack}")
            spell = [at for at, other in self.granted if other == tenant.name][-1:]
            if spell and (self.at - spell[0]) * S < tenant.agreement.min_drain_interval_ns:
                self.wrong.append(f"{self.at - OPENS}: {name} granted {self.at - spell[0]} s after another")
            self.granted.append((self.at, tenant.name))
        past = before.history.get((permit.work, permit.server))
        if past is not None and past.done:
            self.wrong.append(f"{name} is drained again though it was done")
        if permit.server in {held.permit.server for held in before.permits.values()}:
            self.wrong.append(f"{name} is drained twice at once")

    def lack(self, tenant: Tenant, out: set[str]) -> str:
        """Return how the agreement of a tenant is violated with these servers out; empty if it holds."""
        mine = [one for one in self.servers.values() if not tenant.zones or one.zone in tenant.zones]
        away = [
            one.name
            for one in mine
            if one.name in out or one.trouble(self.at) not in (None, Trouble.LISTED_OUT)
        ]
        good = sum(
            one.weight * (1 - one.interfered)
            for one in mine
            if one.name not in out and one.trouble(self.at) is None
        )
        if good >= tenant.agreement.capacity - 1e-6 and len(away) <= tenant.agreement.max_out:
            return ""
        return f"{tenant.name} has {good} without {away}"

    def look(self) -> None:
        """Check, each second, which servers are kept out by which members, and whether that is allowed."""
        held_by = dict[str, list[Member]]()
        for member in self.members:
            for server in self.held_by(member):
                held_by.setdefault(server, []).append(member)
        for server in held_by:
            for tenant in self.state.declared.tenants:
                zone = self.servers[server].zone
                if (
                    (not tenant.zones or zone in tenant.zones)
                    and not self.open_for(tenant)
                    and any(abs(member.offset) <= 1 for member in held_by[server])
                ):  # A member with a skewed clock that is alone can't notice it.
                    self.wrong.append(f"{self.at - OPENS}: {server} is out while {tenant.name} is closed")
        if self.fault_at == 0:
            for tenant in self.state.declared.tenants:
                if held_by and (lack := self.lack(tenant, set(held_by))):
                    self.wrong.append(f"{self.at - OPENS}: {lack}")
        for held in self.state.permits.values():
            # Under work and not ended by any clock: members that are up to date and not skewed keep it out.
            permit = held.permit
            if permit.phase is Phase.OUT and self.at + 2 < permit.ends // S - 1:
                for member in self.members:
                    if (
                        member.known == len(self.log)
                        and member.alive
                        and abs(member.offset) <= 1
                        and not self.is_apart(member)
                        and permit.server not in self.held_by(member)
                    ):
                        self.wrong.append(
                            f"{self.at - OPENS}: {member.name} lets {permit.server} in under its work"
                        )

    def open_for(self, tenant: Tenant) -> bool:
        """Return whether a window is open; every window of these groups opens daily in UTC."""
        now = datetime.fromtimestamp(self.at, UTC)
        for window in tenant.windows:
            start = datetime.fromisoformat(window.start).replace(tzinfo=UTC)
            if (now - start).total_seconds() >= 0 and (
                now - start
            ).total_seconds() % 86400 * S < window.length_ns:
                return now.date().isoformat() not in tenant.agreement.closed_days
        return False

    # Simulation

    def is_apart(self, member: Member) -> bool:
        heard = [
            one.offset - member.offset
            for one in self.members
            if one.alive or self.at <= one.silent_since + LIMITS.report_timeout_ns // S
        ]
        return is_clock_skewed([one * S for one in heard], LIMITS.clock_bound_ns)

    def held_by(self, member: Member) -> dict[str, object]:
        if not member.alive or self.is_apart(member):
            return {}
        return dict(member.state.held_out((self.at + member.offset) * S))

    def step(self) -> None:
        self.at += 1
        for member in self.members:
            if member.alive and self.rng.random() >= member.lag / 10:
                member.known = min(len(self.log), member.known + self.rng.randint(1, 3))
                member.state = self.states[member.known]
            held = {permit.id for permit in member.state.held_out((self.at + member.offset) * S).values()}
            member.out_since = {one: member.out_since.get(one, self.at) for one in held}
        for due, number, command in sorted(self.wire):
            if due <= self.at:
                self.wire.remove((due, number, command))
                self.write(command, (self.at + self.members[number].offset) * S)
        self.work()
        reports = self.reports()
        for number, member in enumerate(self.members):
            if member.alive and member.leads:
                clock = (self.at + member.offset) * S
                standings = {
                    one.name: Standing(
                        one.name,
                        one.zone,
                        one.weight,
                        one.trouble(self.at),
                        (one.since * S + LIMITS.warmup_ns + member.offset * S) if one.since else 0,
                        one.interfered,
                    )
                    for one in self.servers.values()
                    if one.listed
                }
                own = reports._replace(
                    steering={
                        one.name: SteeringReport(
                            one.proxies,
                            (one.offset - member.offset) * S,
                            0 if one.alive else (self.at - one.silent_since) * S,
                        )
                        for one in self.members
                    }
                )
                for command in member.controller.next_commands(
                    self.at * S, clock, member.state, standings, own
                ):
                    self.send(number, command)
        self.look()

    def send(self, number: int, command: Command) -> None:
        if self.is_apart(self.members[number]) and isinstance(command, Grant):
            self.wrong.append(f"{self.members[number].name} grants though its clock is apart")
        for _ in range(self.rng.choice([0, 1, 1, 1, 1, 2])):
            self.wire.append((self.at + self.rng.randint(0, 2), number, encode_command(command)))

    def reports(self) -> MemberReports:
        drained, let_in = dict[str, set[str]](), dict[str, set[str]]()
        for member in self.members:
            if not member.alive:
                continue
            for permit, since in member.out_since.items():
                if self.at >= since + member.slow:
                    drained.setdefault(permit, set()).add(member.name)
            for permit in self.state.permits:
                held = member.state.permits.get(permit)
                if (held is not None and held.permit.phase is Phase.RETURNING) or (
                    held is None and permit not in member.out_since and member.known == len(self.log)
                ):
                    let_in.setdefault(permit, set()).add(member.name)
        return MemberReports(tuple(one.name for one in self.members), {}, drained, let_in)

    def work(self) -> None:
        """Stop servers once their permits are OUT, and start them before the end."""
        for held in self.state.permits.values():
            permit = held.permit
            if permit.phase is Phase.OUT and permit.id not in self.restarting:
                self.restarting[permit.id] = permit.ends // S - self.rng.randint(2, 8)
                self.servers[permit.server].up = False
                self.servers[permit.server].back_at = self.restarting[permit.id]
        for server in self.servers.values():
            if not server.up and self.at >= server.back_at:
                server.up, server.since = True, self.at


def some_world(rng: random.Random, offsets: list[int]) -> Group:
    zones = ["z0", "z1"]
    servers = {
        f"s{i}": Server(f"s{i}", rng.choice(zones), rng.choice([1.0, 1.0, 2.0]))
        for i in range(rng.randint(3, 7))
    }
    for one in servers.values():
        one.interfered = rng.choice([0.0, 0.0, 0.3])
    tenants = list[Tenant]()
    for i in range(rng.randint(1, 3)):
        mine = tuple(rng.sample(zones, rng.randint(0, 2)))
        whole = sum(
            one.weight * (1 - one.interfered) for one in servers.values() if not mine or one.zone in mine
        )
        windows = tuple(
            Window(
                f"w{n}",
                "FREQ=DAILY",
                f"2026-12-0{rng.randint(1, 2)}T01:{10 * n:02}:00",
                rng.randint(25, 45) * 60 * S,
                "UTC",
            )
            for n in range(rng.randint(1, 2))
        )
        tenants.append(
            Tenant(
                f"t{i}",
                (),
                mine,
                (),
                Agreement(
                    whole * rng.choice([0.3, 0.5, 0.6]),
                    rng.randint(1, 3),
                    rng.choice([0, 60, 120]) * S,
                    ("2026-12-02",) if rng.random() < 0.05 else (),
                ),
                windows,
            )
        )
    names = sorted(servers)
    works = [Work("kernel", tuple(names), rng.choice([60, 120]) * S, (OPENS + 2400) * S, rng.choice([0, 2]))]
    if rng.random() < 0.3:
        works.append(Work("disk", tuple(names[:2]), 90 * S, (OPENS + 90_000) * S, 1))
    return Group(rng, Declared(1, tuple(tenants), tuple(works)), servers, offsets)
