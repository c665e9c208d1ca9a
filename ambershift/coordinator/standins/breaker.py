"""A TCP breaker for a link: passes, swallows, holds, slows, resets at a byte, or leaves an end half open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterable, Sequence
from enum import Enum, auto

PIECE = 64 << 10
SLOW_PIECE = 256


class Mode(Enum):
    PASS = auto()
    SWALLOW = auto()  # Cut: bytes are lost, and so is the word that an end has closed.
    HOLD = auto()  # Kept in order until released.
    SLOW = auto()


class Way:
    """One direction of a link, for all connections that use it."""

    def __init__(self) -> None:
        self.mode, self.rate = Mode.PASS, 0.0
        self.left: int | None = None  # Bytes until everything on it is reset; None: no such thing.
        self.passed = self.swallowed = 0
        self.changed = asyncio.Event()

    def put(self, mode: Mode, rate: float = 0.0) -> None:
        self.mode, self.rate = mode, rate
        self.changed.set()
        self.changed = asyncio.Event()

    async def unheld(self) -> None:
        while self.mode is Mode.HOLD:
            await self.changed.wait()


def reset(writer: asyncio.StreamWriter) -> None:
    """End it by a reset, as what vanishes does: without the option it would close in good order."""
    if end := writer.get_extra_info("socket"):
        with contextlib.suppress(OSError):
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Pair:
    """One connection through the breaker: its near end dialled, its far end was dialled for it."""

    def __init__(self, near: asyncio.StreamWriter) -> None:
        self.near = near
        self.far: asyncio.StreamWriter | None = None
        self.lost = False  # Some of its bytes are gone for good: it can't go on once the way is whole.
        self.gone = asyncio.Event()

    def ends(self) -> list[asyncio.StreamWriter]:
        return [self.near] if self.far is None else [self.near, self.far]

    def reset(self) -> None:
        self.gone.set()
        for end in self.ends():
            reset(end)


class Breaker:
    """Listens where one member dials another, and dials on. `forward` is the dialler's way."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.host, self.port, self.target = host, port, target
        self.forward, self.back = Way(), Way()
        self.pairs = set[Pair]()
        self.server: asyncio.Server | None = None
        self.dialled = self.resets = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server:
            self.server.close()
        for pair in list(self.pairs):
            pair.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.dialled += 1
        pair = Pair(writer)
        self.pairs.add(pair)
        try:
            await self.join(pair, reader)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.pairs.discard(pair)
            pair.reset()

    async def join(self, pair: Pair, reader: asyncio.StreamReader) -> None:
        if Mode.SWALLOW in (self.forward.mode, self.back.mode):
            pair.lost = True  # No connection would come up: this one stays silent until the cut is over.
            await pair.gone.wait()
            return
        await self.forward.unheld()
        far_reader, pair.far = await asyncio.open_connection(*self.target)
        pumps = [
            asyncio.create_task(self.pump(pair, reader, pair.far, self.forward)),
            asyncio.create_task(self.pump(pair, far_reader, pair.near, self.back)),
            asyncio.create_task(pair.gone.wait()),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def pump(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way
    ) -> None:
        while True:
            with contextlib.suppress(OSError):
                if data := await reader.read(PIECE):
                    await self.pass_on(pair, data, writer, way)
                    continue
            # This end is gone. Over a cut way the other does not hear of it.
            await way.unheld()
            if way.mode is Mode.SWALLOW or pair.lost:
                pair.lost = True
                await pair.gone.wait()
            return

    async def pass_on(self, pair: Pair, data: bytes, writer: asyncio.StreamWriter, way: Way) -> None:
        while data:
            await way.unheld()
            if way.mode is Mode.SWALLOW or pair.lost:
                pair.lost = True
                way.swallowed += len(data)
                return
            piece = data[:SLOW_PIECE] if way.mode is Mode.SLOW else data
            if way.left is not None:
                piece = piece[: way.left]
                way.left -= len(piece)
            writer.write(piece)
            await writer.drain()
            way.passed += len(piece)
            data = data[len(piece) :]
            if way.left == 0:
                way.left = None
                self.resets += 1
                self.reset()
            if way.mode is Mode.SLOW:
                with contextlib.suppress(TimeoutError):  # Ends early where the mode changes.
                    await asyncio.wait_for(way.changed.wait(), len(piece) / way.rate)

    def reset(self) -> None:
        for pair in list(self.pairs):
            pair.reset()

    def half_open(self) -> None:
        """The far ends vanish, and the near ones are not told: what they write goes nowhere."""
        for pair in self.pairs:
            pair.lost = True
            if pair.far is not None:
                reset(pair.far)

    def mend(self) -> None:
        """Connections that lost something end now, as real ones do once the others' resets get through."""
        for pair in list(self.pairs):
            if pair.lost:
                pair.reset()


class Net:
    """The links between all members, each with a breaker for either direction of dialling."""

    def __init__(self, host: str, names: Sequence[str], listens: Sequence[int], first_port: int) -> None:
        self.names = list(names)
        self.breakers = dict[tuple[str, str], Breaker]()
        for near in names:
            for far, listen in zip(names, listens, strict=True):
                if near != far:
                    port = first_port + len(self.breakers)
                    self.breakers[near, far] = Breaker(host, port, (host, listen))

    async def open(self) -> None:
        for breaker in self.breakers.values():
            await breaker.open()

    def close(self) -> None:
        for breaker in self.breakers.values():
            breaker.close()

    def ways(self, sender: str, receiver: str) -> list[Way]:
        """What carries bytes from one to the other, whoever of them dialled."""
        return [self.breakers[sender, receiver].forward, self.breakers[receiver, sender].back]

    def put(self, sender: str, receiver: str, mode: Mode, rate: float = 0.0) -> None:
        for way in self.ways(sender, receiver):
            way.put(mode, rate)

    def cut(self, sender: str, receiver: str, both: bool = False) -> None:
        self.put(sender, receiver, Mode.SWALLOW)
        if both:
            self.put(receiver, sender, Mode.SWALLOW)

    def split(self, *parts: Iterable[str]) -> None:
        """Cut, both ways, whatever lies between two parts; who is in none is alone."""
        place = {name: at for at, part in enumerate(parts) for name in part}
        for near, far in self.breakers:
            if place.get(near, near) != place.get(far, far):
                self.cut(near, far)

    def hold(self, sender: str, receiver: str) -> None:
        self.put(sender, receiver, Mode.HOLD)

    def slow(self, sender: str, receiver: str, rate: float) -> None:
        """`rate` in bytes a second."""
        self.put(sender, receiver, Mode.SLOW, rate)

    def reset_at(self, sender: str, receiver: str, count: int) -> None:
        """Reset the link once so many more bytes have passed that way."""
        for way in self.ways(sender, receiver):
            way.left = max(1, count)

    def reset(self, one: str, other: str) -> None:
        self.breakers[one, other].reset()
        self.breakers[other, one].reset()

    def half_open(self, near: str, far: str) -> None:
        self.breakers[near, far].half_open()

    def heal(self) -> None:
        """Everything passes again: what was held comes out in order, what was cut is reset."""
        for breaker in self.breakers.values():
            for way in (breaker.forward, breaker.back):
                way.left = None
                if way.mode is not Mode.PASS:
                    way.put(Mode.PASS)
            breaker.mend()
