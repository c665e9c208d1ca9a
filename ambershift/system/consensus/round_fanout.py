"""Which voters a round goes to: the nearest that suffice, and the others if these are late (hedging)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ambershift.system.consensus.effect_buffer import EffectBuffer
from ambershift.system.consensus.register import ProposerRegister, Round
from ambershift.system.consensus.voters import VotingState
from ambershift.system.messages.replication import Accept, ConfirmBallot, Prepare
from ambershift.system.state_machine import NS_PER_MS

HEDGE_DELAY_MIN_NS, HEDGE_DELAY_MAX_NS = 40 * NS_PER_MS, 250 * NS_PER_MS
INITIAL_DOUBLE_ROUND_TIME_NS = 100 * NS_PER_MS  # The estimate before any round was measured.
SLOW_VOTER_PENALTY_NS = 1500 * NS_PER_MS  # A voter that let a round wait is asked last for this time.
TRANSFER_NS_PER_BYTE = 4000  # What a byte of a value may take on a slow link, before it is sent again.


def transfer_allowance_ns(round_: Round) -> int:
    """How long the value of a round may take on its way."""
    message = round_.message
    return TRANSFER_NS_PER_BYTE * len(message.value_or_delta or b"") if isinstance(message, Accept) else 0


class RoundFanout:
    """Sends a round's message to voters and measures how long rounds take.

    Attributes:
        double_round_time_ns: Twice the time that a round takes, a moving average.
    """

    def __init__(self, out: EffectBuffer, voters: VotingState, is_reachable: Callable[[str], bool]) -> None:
        self._out, self._voters, self._is_reachable = out, voters, is_reachable
        self.double_round_time_ns = INITIAL_DOUBLE_ROUND_TIME_NS
        self._slow_until_ns: dict[str, int] = {}  # Until when a voter is asked last, by its ip.

    def record_duration(self, duration_ns: int) -> None:
        """Update the estimate by a round that has completed."""
        self.double_round_time_ns = (
            7 * self.double_round_time_ns + min(2 * duration_ns, HEDGE_DELAY_MAX_NS)
        ) // 8

    def hedge_delay_ns(self) -> int:
        """After how long the other voters are asked: one and a half times a round's time, within bounds."""
        return max(HEDGE_DELAY_MIN_NS, min(3 * self.double_round_time_ns // 4, HEDGE_DELAY_MAX_NS))

    def mark_unanswered_slow(self, round_: Round) -> None:
        """The round has waited too long: for a while, ask those that haven't answered last."""
        self._slow_until_ns.update(
            (ip, self._out.now + SLOW_VOTER_PENALTY_NS) for ip in round_.contacted - round_.granted
        )

    def send_to_quorum(self, register: ProposerRegister, round_: Round) -> None:
        """Send a new round to the nearest reachable voters that make a majority."""
        near, now = self._voters.ips_by_proximity, self._out.now
        chosen = [ip for ip in near if self._is_reachable(ip) and self._slow_until_ns.get(ip, 0) <= now][
            : self._voters.quorum_size
        ]
        if len(chosen) < self._voters.quorum_size:
            chosen = list(near)  # Too few are known to be reachable: ask all.
        round_.contacted = set(chosen)
        round_.retry_at_ns = now + self.hedge_delay_ns() + transfer_allowance_ns(round_)
        for ip in chosen:
            self.send_to(ip, register, round_)

    def send_to(self, ip: str, register: ProposerRegister, round_: Round) -> None:
        """Send the round's message to one voter.

        A voter that isn't known to have the base gets the complete value: to be asked for it would cost a
        round trip. One that should have the base but hasn't answers `MissingBase`.
        """
        message = round_.message
        if isinstance(message, Accept):
            if message.base_ballot is not None and register.peer_ballots.get(ip) not in (
                message.base_ballot,
                message.ballot,
            ):
                message = msgspec.structs.replace(message, base_ballot=None, value_or_delta=round_.value)
            register.peer_ballots[ip] = message.ballot
        self._out.send(ip, message)

    def send_prepare_to(self, ip: str, register: ProposerRegister, round_: Round) -> None:
        """Ask a voter to promise the ballot instead of confirming it.

        One that took no part lately can't confirm it, but it can promise it now. That proves as well that it
        has promised no higher one.
        """
        self._out.send(
            ip,
            Prepare(
                round_.epoch, round_.request_id, register.name, round_.message.ballot, round_.accepted_ballot
            ),
        )

    def send_to_remaining(self, register: ProposerRegister, round_: Round) -> None:
        """Send the round to the voters that weren't asked so far."""
        for ip in self._voters.ips_by_proximity:
            if ip not in round_.contacted:
                round_.contacted.add(ip)
                if isinstance(round_.message, ConfirmBallot):
                    self.send_prepare_to(ip, register, round_)
                else:
                    self.send_to(ip, register, round_)
