"""Who is there: knocks, beats, words of others; who was heard when, and whom others don't hear."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

import msgspec

from ambershift.system.consensus.contact_lease import Contact
from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.consensus.item_store import Store
from ambershift.system.consensus.quorum import ALL_WATCH, watchers
from ambershift.system.consensus.voters import Voters, holds
from ambershift.system.messages import replication
from ambershift.system.messages.proxy_link import ControlNodeAddress
from ambershift.system.messages.replication import Beat, Knock, Known, Machine
from ambershift.system.state_machine import NS_PER_MS

BEAT = 300 * NS_PER_MS
SILENT = 1500 * NS_PER_MS
LATELY = 800 * NS_PER_MS  # Asked first if heard within this.
QUIET = 550 * NS_PER_MS  # Not heard for so long, it gets no calls: a beat and most of another are missing.
DISTANT = 1000 * NS_PER_MS  # The same for those that hear voters less often, as they are none.
SETTLED = (
    2000 * NS_PER_MS
)  # Links to a machine that was away are there, and it votes again, when this is over.
GONE = 5000 * NS_PER_MS
EVENT_CONTACT = 210
NONE_KNOWN = -1  # Unlike every checksum: whoever is told this tells of all it knows, itself too.
_encode = msgspec.msgpack.Encoder().encode


class Watching:
    def __init__(
        self, out: Outbox, voters: Voters, store: Store, seeds: Sequence[str], contact: Contact
    ) -> None:
        self._out, self._voters, self._store, self._contact = out, voters, store, contact
        self._seeds = tuple(seeds)
        self.machines: dict[str, Machine] = {voters.me.ip: voters.me}
        # Births that machines have told themselves since the voters changed. What was known before may be of
        # a disk that this very change replaced: chosen again, it would name a voter that isn't there.
        self.own: dict[str, int] = {}
        self.heard: dict[str, int] = {}
        self._back: dict[str, int] = {}  # Since when each has been heard without a pause.
        self._ticked = self._awake = out.now
        self._well: set[str] = set()  # Who says of itself that it is settled; this machine, too.
        self.leaving: set[str] = set()  # Who tells that it is about to end; this machine, too.
        self._complete: dict[str, int] = {}  # The epoch for which each voter was last told to be complete.
        self.silent: dict[str, tuple[str, ...]] = {}  # Whom each other doesn't hear.
        self.newcomer = out.now  # When a machine was last heard of for the first time.
        self._unequal: dict[str, int] = {}
        self._touched = False
        self._sent: dict[str, int] = {}
        self._due = out.now
        self._known = 0
        self._sum()

    def _sum(self) -> None:
        self._known = crc32(_encode([self.machines[ip] for ip in sorted(self.machines)]))

    @property
    def me(self) -> Machine:
        return self._voters.me

    # What is told.

    def hear(self, sender: str) -> None:
        now = self._out.now
        if now - self.heard.get(sender, -GONE) > DISTANT:
            self._back[sender] = now
        self.heard[sender] = now

    def knock(self, sender: str, knock: Knock) -> None:
        if knock.machine.ip == sender:
            self.own[sender] = knock.machine.birth
            self._learn(knock.machine, direct=True)
        if knock.known != self._known:
            self._out.send(sender, Known(tuple(self.machines.values())))
        if self._voters.decision is not None and knock.epoch < self._voters.epoch:
            self._out.send(sender, self._voters.decision)

    def known(self, sender: str, message: Known) -> None:
        for machine in message.machines:
            if machine.ip == sender:
                self.own[sender] = machine.birth
            self._learn(machine, direct=False)

    def _learn(self, machine: Machine, direct: bool) -> None:
        mine = self.machines.get(machine.ip)
        if machine.ip == self.me.ip:
            if machine != self.me and machine.version >= self.me.version:
                self.introduce(msgspec.structs.replace(self.me, version=machine.version + 1))
        elif (
            mine is None
            or machine.version > mine.version
            or (direct and machine.version == mine.version and machine != mine)
        ):
            if mine is None or mine.birth != machine.birth:
                self.newcomer = self._out.now
            self.machines[machine.ip] = machine
            self._sum()

    def voters_changed(self) -> None:
        self.own.clear()

    def _doubtful(self) -> list[str]:
        """Voters that are known with another disk, but not by their own word."""
        decision = self._voters.decision
        return [
            one.ip
            for one in (decision.members if decision else ())
            if one.ip in self.machines and self.machines[one.ip].birth != one.birth and one.ip not in self.own
        ]

    def introduce(self, me: Machine) -> None:
        """Something about this machine has changed: tell all."""
        self._voters.me = me
        self.machines[me.ip] = me
        self._sum()
        self._knock(self.others())

    def beat(self, sender: str, beat: Beat) -> str | None:
        """Take a beat. Returns the sender if its items have differed for two beats."""
        self.silent[sender] = beat.silent
        (self._well.add if beat.state & replication.SETTLED else self._well.discard)(sender)
        (self.leaving.add if beat.state & replication.LEAVING else self.leaving.discard)(sender)
        if beat.state & replication.COMPLETE:
            self._complete[sender] = beat.epoch
        if beat.known != self._known:
            self._out.send(sender, self._knocking())
        if self._voters.decision is not None and beat.epoch < self._voters.epoch:
            self._out.send(sender, self._voters.decision)
        if self._out.now - self._sent.get(sender, 0) > 2 * BEAT:
            self._beat([sender])  # It watches me though I needn't watch it: let it know that I am here.
        if beat.items == self._store.buckets.total:
            self._unequal.pop(sender, None)
            if beat.epoch == self._voters.epoch and beat.state & replication.COMPLETE:
                self._contact.equal(sender)
            return None
        count = self._unequal[sender] = self._unequal.get(sender, 0) + 1
        return sender if count >= 2 else None

    def unknowing(self, sender: str) -> None:
        """That machine knows newer voters than this one: show it, so that it tells."""
        self._knock([sender])

    # What is sent.

    def others(self) -> list[str]:
        """All that may be there: machines known, voters, seeds."""
        return sorted({*self.machines, *self._voters.ips, *self._seeds} - {self.me.ip})

    def _knocking(self) -> Knock:
        return Knock(self.me, self._voters.epoch, self._known)

    def _knock(self, ips: Sequence[str]) -> None:
        message = self._knocking()
        for ip in ips:
            self._out.send(ip, message)

    def _state(self) -> int:
        return (
            replication.SETTLED * (self.me.ip in self._well)
            + replication.COMPLETE * self._voters.voting
            + replication.LEAVING * (self.me.ip in self.leaving)
        )

    def _beat(self, ips: Sequence[str]) -> None:
        message = Beat(
            self._voters.epoch,
            self._store.buckets.total,
            self._known,
            self.unheard(),
            self._state(),
        )
        for ip in ips:
            self._sent[ip] = self._out.now
            self._out.send(ip, message)

    def reached(self, ip: str) -> None:
        """Show it at once that this machine is there."""
        if ip in self.machines and self._voters.decision is not None:
            self._beat([ip])
        else:
            self._knock([ip])

    def tick(self) -> None:
        if self._out.now - self._ticked > LATELY:
            self._awake = self._out.now
        self._ticked = self._out.now
        if self.in_touch() != self._touched:
            self._touched = not self._touched
            self._out.log(EVENT_CONTACT, in_touch=self._touched, unheard=list(self.unheard()))
        settled = (
            self.me.ip not in self.leaving
            and self.in_touch()
            and self._voters.voting
            and self._out.now - self._awake >= SETTLED
        )
        if settled != (self.me.ip in self._well):
            (self._well.add if settled else self._well.discard)(self.me.ip)
            self._due = self._out.now  # All should know at once, or two propose for one register.
        if self._out.now < self._due:
            return
        self._due = self._out.now + BEAT
        others = self.others()
        watching = {*watchers(self.me.ip, others), *self._voters.ips} - {self.me.ip}
        # Whoever isn't known is told who this machine is; what others lack they show by their beats.
        strange = [ip for ip in others if ip not in self.machines or self._voters.decision is None]
        self._knock(strange)
        for ip in self._doubtful():
            self._out.send(ip, Knock(self.me, self._voters.epoch, NONE_KNOWN))
        self._beat(sorted(watching - set(strange)))

    # What follows.

    def alive(self, ip: str, within: int = SILENT) -> bool:
        return ip == self.me.ip or self._out.now - self.heard.get(ip, -GONE) <= within

    def complete(self, ip: str) -> bool:
        """Whether that voter is known to have all that was held before this epoch."""
        if ip == self.me.ip:
            return self._voters.voting
        return self._complete.get(ip, 0) >= max(1, self._voters.epoch)

    def leave(self) -> None:
        """This process is about to end: others propose from now on, and take its seat or leave it out."""
        self.leaving.add(self.me.ip)
        self._due = self._out.now

    def left(self) -> bool:
        """Whether this machine may end: it is no voter any more, and the voters are complete without it."""
        decision = self._voters.decision
        if decision is None or self.me.ip in self._voters.ips:
            return decision is None
        return sum(self.complete(ip) for ip in self._voters.ips) >= self._voters.enough

    def lately(self, ip: str) -> bool:
        return self.alive(ip, LATELY)

    def ready(self, ip: str) -> bool:
        """Whether that voter was heard lately, and not as a machine that has lost the disk it votes with."""
        decision, machine = self._voters.decision, self.machines.get(ip)
        return (
            self.lately(ip)
            and self._hears_me(ip)
            and (decision is None or machine is None or holds(decision.members, ip, machine.birth))
        )

    def settled(self) -> frozenset[str]:
        """The voters that have been there without a pause for a while: none, where most have not.

        Each judges itself, from its start or since it stood still, and tells the others in the same moment,
        as views that differ make two propose for one register.
        """
        found = frozenset(ip for ip in self._voters.ips if self._settled(ip))
        return found if len(found) >= self._voters.enough else frozenset()

    def _settled(self, ip: str) -> bool:
        return ip in self._well and self.well(ip) and self._hears_me(ip)

    def well(self, ip: str) -> bool:
        """Whether calls may be handed to it, by when it was heard last."""
        return self.alive(ip, QUIET if self._voters.member else DISTANT)

    def proven(self, ip: str) -> bool:
        """Whether that voter's answer to a round may be counted on."""
        return self.ready(ip) and (ip == self.me.ip or self._out.now - self._back.get(ip, 0) >= SETTLED)

    def _hears_me(self, ip: str) -> bool:
        """False while that one tells that it doesn't: links may be cut one way."""
        return self.me.ip not in self.silent.get(ip, ())

    def unheard(self) -> tuple[str, ...]:
        """Voters not heard for a while."""
        return tuple(sorted(ip for ip in self._voters.ips if not self.alive(ip)))

    def in_touch(self) -> bool:
        return (
            self._voters.decision is not None
            and (self._voters.voting or not self._voters.member)
            and sum(self.alive(ip) and self._hears_me(ip) for ip in self._voters.ips) >= self._voters.enough
        )

    def nearest(self) -> str | None:
        """The nearest voter that is there."""
        return next((ip for ip in self._voters.near if ip != self.me.ip and self.ready(ip)), None)

    def learners(self) -> list[str]:
        return [
            ip
            for ip in sorted(self.machines)
            if ip not in self._voters.ips and self.alive(ip) and ip != self.me.ip
        ]

    def cores(self) -> tuple[ControlNodeAddress, ...]:
        decision = self._voters.decision
        found = (
            {one.ip: ControlNodeAddress(one.ip, one.zone, one.region) for one in decision.members}
            if decision
            else {}
        )
        hears_all = self._voters.voting or len(self.machines) <= ALL_WATCH
        for one in self.machines.values():
            if one.ip in found or not hears_all or self.alive(one.ip, GONE):
                found[one.ip] = ControlNodeAddress(one.ip, one.zone, one.region)
        return tuple(found[ip] for ip in sorted(found))
