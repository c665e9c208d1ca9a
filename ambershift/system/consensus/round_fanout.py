"""Whom a proposer asks: a round goes to the nearest voters that suffice, to the others if these are late."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.consensus.effect_buffer import Outbox
from ambershift.system.consensus.register import Register, Round
from ambershift.system.consensus.voters import Voters
from ambershift.system.messages.replication import Accept, ConfirmBallot, Prepare
from ambershift.system.state_machine import NS_PER_MS

HEDGE_LEAST, HEDGE_MOST = 40 * NS_PER_MS, 250 * NS_PER_MS
FIRST = 100 * NS_PER_MS  # Taken for twice a round's time before there was any.
SLOW = 1500 * NS_PER_MS  # A voter that let a round wait is asked last for so long.
BYTE = 4000  # ns that a byte of a value may take on a slow link, before it is sent again.


def transfer(round_: Round) -> int:
    """How long (ns) the value of a round may take on its way."""
    message = round_.message
    return BYTE * len(message.value_or_delta or b"") if isinstance(message, Accept) else 0


class Asking:
    """`alive` tells of a voter whether its answer may be counted on."""

    def __init__(self, out: Outbox, voters: Voters, alive: Callable[[str], bool]) -> None:
        self._out, self._voters, self._alive = out, voters, alive
        self.usual = FIRST  # Twice what a round takes.
        self._slow: dict[str, int] = {}  # Till when a voter is asked last.

    def took(self, span: int) -> None:
        self.usual = (7 * self.usual + min(2 * span, HEDGE_MOST)) // 8

    def patience(self) -> int:
        """One and a half times what a round takes."""
        return max(HEDGE_LEAST, min(3 * self.usual // 4, HEDGE_MOST))

    def waited(self, round_: Round) -> None:
        """That round has waited too long for those that haven't answered."""
        self._slow.update((ip, self._out.now + SLOW) for ip in round_.asked - round_.yes)

    def ask(self, register: Register, round_: Round) -> None:
        near, now = self._voters.near, self._out.now
        chosen = [ip for ip in near if self._alive(ip) and self._slow.get(ip, 0) <= now][
            : self._voters.enough
        ]
        if len(chosen) < self._voters.enough:
            chosen = list(near)  # Too few are known to be well: whoever comes first.
        round_.asked = set(chosen)
        round_.again = now + self.patience() + transfer(round_)
        for ip in chosen:
            self.tell(ip, register, round_)

    def tell(self, ip: str, register: Register, round_: Round) -> None:
        """A voter that isn't known to hold the base gets the whole value, as to be asked for it would cost
        another trip; one that should hold it but doesn't says so."""
        message = round_.message
        if isinstance(message, Accept):
            if message.base_ballot is not None and register.held.get(ip) not in (
                message.base_ballot,
                message.ballot,
            ):
                message = msgspec.structs.replace(message, base_ballot=None, value_or_delta=round_.value)
            register.held[ip] = message.ballot
        self._out.send(ip, message)

    def renew(self, ip: str, register: Register, round_: Round) -> None:
        """A voter that took no part lately can't confirm the ballot, but it can promise it now: that tells as
        well that it has promised no higher one."""
        self._out.send(
            ip, Prepare(round_.epoch, round_.number, register.name, round_.message.ballot, round_.best)
        )

    def widen(self, register: Register, round_: Round) -> None:
        for ip in self._voters.near:
            if ip not in round_.asked:
                round_.asked.add(ip)
                if isinstance(round_.message, ConfirmBallot):
                    self.renew(ip, register, round_)
                else:
                    self.tell(ip, register, round_)
