"""What befalls a simulated group: one seed, one plan, plain enough to be shrunk by leaving parts out."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ambershift.coordinator.groupsim.chance import Chance

MS = 1_000_000
SECOND = 1000 * MS
CALM_AT = 1800 * MS  # From here on no fault begins, and all that were begun end.


class Trouble(StrEnum):
    """Kinds of faults. `who` of a fault are members; what the kind does with them stands beside it."""

    CUT = "cut"  # The first no longer reaches the others; they reach it.
    SPLIT = "split"  # Into up to three parts: who is in the same text is together.
    BREAK = "break"  # Links between the first and the others break: what is on the way is lost.
    CRASH = "crash"  # Started anew with its folder, if it has one; without one its memory is lost.
    LOSE = "lose"  # As a crash, and the folder is gone.
    OLD = "old"  # As a crash, and an earlier copy of the folder is put back.
    STOP = "stop"  # It stands still and is continued; what came meanwhile is partly still there.
    CLOCK = "clock"  # Its wall clock is set, its own clock keeps its pace.


class Fault(NamedTuple):
    at: int
    kind: Trouble
    who: tuple[str, ...]
    lasts: int
    much: int  # Chance of its own, 0 to 999: how much of a crash's last writes was kept, how old a copy is.

    def text(self) -> str:
        who = " ".join(self.who)
        return f"{self.at / MS:.0f} ms: {self.kind} {who}, {self.lasts / MS:.0f} ms ({self.much})"


class Weather(NamedTuple):
    """What befalls each message: chances in thousandths, delays at most, in ns."""

    lost: int
    repeated: int
    late: int  # How many are held for `late_ns` at most, so that others overtake them.
    late_ns: int
    way_ns: int
    sync_ns: int


class Plan(NamedTuple):
    seed: int
    voters: tuple[str, ...]
    copies: tuple[str, ...]
    folders: tuple[str, ...]  # Who has one.
    beyond: bool  # Whether faults may go beyond what the promise bears.
    weather: Weather
    drift: tuple[int, ...]  # Of each member's own clock, in thousandths of its pace.
    faults: tuple[Fault, ...]
    clients: int
    coded: bool  # Whether messages go through their codec.
    tight: bool  # Whether snapshots, pieces and batches are tiny, so that all of them come up.

    def text(self) -> list[str]:
        return [
            f"seed {self.seed}: voters {' '.join(self.voters)}, copies {' '.join(self.copies)}, folders "
            f" {' '.join(self.folders) or 'none'}, {self.clients} clients, "
            f"{'tight' if self.tight else 'roomy'}, {self.weather}",
            *(f"  fault {one.text()}" for one in self.faults),
        ]


CALM = Weather(0, 0, 0, 0, 2 * MS, MS)
USUAL = (
    Trouble.CUT,
    Trouble.SPLIT,
    Trouble.BREAK,
    Trouble.CRASH,
    Trouble.CRASH,
    Trouble.LOSE,
    Trouble.LOSE,
    Trouble.OLD,
    Trouble.STOP,
    Trouble.CLOCK,
)
# Beyond the promise no old copies: what only an old folder held and nobody else can't be known to be missing.
FURTHER = (Trouble.LOSE, Trouble.LOSE, Trouble.LOSE, Trouble.CRASH, Trouble.CUT, Trouble.SPLIT, Trouble.STOP)


def plan(seed: int, beyond: bool = False) -> Plan:
    chance = Chance(seed, 1)
    voters = tuple(f"n{at}" for at in range(1, (5 if chance.hits(200) else 3) + 1))
    copies = ("c1",) if chance.hits(250) else ()
    members = voters + copies
    match chance.below(5):
        case 0 | 1:
            folders = members
        case 2 | 3:
            folders = ()
        case _:
            folders = tuple(one for one in members if chance.hits(500))
    rough = chance.below(3)
    weather = (
        CALM
        if not rough
        else Weather(
            chance.below(120) if rough == 2 else chance.below(20),
            chance.below(100),
            chance.below(150),
            chance.choice((20, 200, 1000)) * MS,
            chance.choice((1, 5, 30)) * MS,
            chance.choice((1, 10, 60)) * MS,
        )
    )
    kinds = FURTHER if beyond else USUAL
    faults = sorted(fault(chance, members, kinds) for _ in range(chance.between(1, 7)))
    return Plan(
        seed,
        voters,
        copies,
        folders,
        beyond,
        weather,
        tuple(chance.between(-50, 50) if chance.hits(300) else 0 for _ in members),
        tuple(faults),
        chance.between(1, 3),
        chance.hits(60),
        chance.hits(500),
    )


def fault(chance: Chance, members: tuple[str, ...], kinds: tuple[Trouble, ...]) -> Fault:
    kind = chance.choice(kinds)
    at = chance.between(100 * MS, CALM_AT - 150 * MS)
    lasts = chance.choice((1, 30, 150, 400, 900)) * MS + chance.below(MS)
    who: tuple[str, ...]
    if kind is Trouble.SPLIT:
        parts = [list[str]() for _ in range(chance.between(2, 3))]
        for one in members:
            chance.choice(parts).append(one)
        who = tuple(",".join(part) for part in parts if part)
    elif kind in (Trouble.CUT, Trouble.BREAK):
        first, *others = chance.some(members, chance.between(2, len(members)))
        who = (first, *others)
    else:
        who = (chance.choice(members),)
    return Fault(at, kind, who, lasts, chance.below(1000))
