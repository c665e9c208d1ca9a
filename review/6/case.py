"""EVAC: a take-back that a cut held up is carried out after a later evacuation was acknowledged."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    SILENCE_S,
    Backend,
    CouldNotRunError,
    Deployment,
    Machine,
    Record,
    read_message,
    route,
    run,
    start_all,
)

ZONE = "riga-skanste"  # It is evacuated.
FAR_ZONE = "daugavpils-a"  # The operator is in riga, and one of its coordinators in another region.
CUT_S = 5.0  # The site's node_cut and core_cut last 5.5 s.
ONE_WAY_S = 0.035  # Between regions, by the page of the site.
WATCHED_S = 12.0
RATE = 40  # Requests a second.


class Network:
    """The network between the operator and one coordinator: a delay, and a cut that holds bytes up.

    When the cut is over, TCP sends again what wasn't acknowledged: first the data, and once they are
    acknowledged, a round trip later, the end of the connection.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.connected = asyncio.Event()
        self.connected.set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, ip: str) -> str:
        self.server = await asyncio.start_server(self.accept, ip, 0)
        return f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        self.tasks |= {
            asyncio.ensure_future(self.carry(reader, back)),
            asyncio.ensure_future(self.carry(there, writer)),
        }

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        resent = False  # Whether the data before were held up by the cut.
        try:
            while True:
                data = await reader.read(65536)
                was_held_up = not self.connected.is_set()
                await self.connected.wait()
                if not data and resent:
                    await asyncio.sleep(2 * ONE_WAY_S)
                await asyncio.sleep(ONE_WAY_S)
                if not data:
                    break
                resent = was_held_up
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class KeptConnection:
    """A connection that the operator keeps to one coordinator."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def open(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def order(self, target: str) -> int | None:
        """Its status; after a second of silence the connection is closed in good order."""
        self.writer.write(
            f"POST {target} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(SILENCE_S):
                answer = await read_message(self.reader, True)
                return answer.status if answer else None
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self.writer.close()
            return None


async def send_requests(deployment: Deployment, record: Record, seconds: float) -> None:
    """Requests to the proxies by turns, each on a connection of its own."""
    end, number, under_way = time.monotonic() + seconds, 0, set()

    async def one(machine: Machine) -> None:
        attempt = f"{random.getrandbits(64):016x}"
        host, _, port = deployment.front(machine).rpartition(":")
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"GET /p/{number:x} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n"
                    "X-Deadline-Remaining: 1500\r\nConnection: close\r\n\r\n".encode()
                )
                answer = await read_message(reader, True)
                writer.close()
                record(f"client: {attempt} by {machine.name} -> {answer.status if answer else 'closed'}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"client: {attempt} by {machine.name} -> {error!r}")

    while time.monotonic() < end:
        number += 1
        task = asyncio.ensure_future(one(deployment.proxies[number % len(deployment.proxies)]))
        under_way.add(task)
        task.add_done_callback(under_way.discard)
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*under_way)


async def play(record: Record, trouble: bool) -> int:
    evacuate = f"/ambershift/rpc?call=evacuation.initiate&of={ZONE}"
    take_back = f"/ambershift/rpc?call=evacuation.terminate&of={ZONE}"
    async with Deployment(record, [ZONE, "liepaja-osta", "daugavpils-a"]) as deployment:
        backends = [Backend(deployment, "svc", zone) for zone in (ZONE, ZONE, "liepaja-osta", "daugavpils-a")]
        await deployment.configure([route("r-a", "a.example", "/p/", "idempotent", "svc")], ["svc"])
        await start_all(backends)
        await deployment.all_ready()
        far = next(one for one in deployment.controls if one.zone == FAR_ZONE)
        near = next(one for one in deployment.controls if one.zone == "riga-plavnieki")
        network = Network(deployment.control(far))
        kept = KeptConnection(await network.listen(deployment.address()))
        await kept.open()
        traffic = asyncio.ensure_future(
            send_requests(deployment, record, BOUNDS["ContactMs"] / 1000 + 2.5 + CUT_S + WATCHED_S)
        )
        try:
            await asyncio.sleep(BOUNDS["ContactMs"] / 1000)
            status = await kept.order(evacuate)
            record.show(f"evacuation of {ZONE} by {far.name}, over the kept connection: {status}")
            if status != 200:
                raise CouldNotRunError("the first evacuation wasn't acknowledged")
            await asyncio.sleep(0.5)
            if trouble:
                network.connected.clear()
                record.show(f"the operator is cut off from {far.name}")
                asyncio.get_running_loop().call_later(CUT_S, network.connected.set)
            status = await kept.order(take_back)
            record.show(f"the zone is taken back, by {far.name}: {status or 'a second of silence'}")
            if status is None:
                status = await deployment.operate("take-back, sent again", take_back, first=near)
                record.show(f"sent again to another coordinator: {status}")
            await asyncio.sleep(1.0)
            status = await deployment.operate("evacuation again", evacuate, first=near)
            acknowledged = time.monotonic()
            record.show(f"evacuation of {ZONE} again, by {near.name}: {status}")
            if status != 200:
                raise CouldNotRunError("the second evacuation wasn't acknowledged")
            await traffic
        finally:
            traffic.cancel()
            for backend in backends:
                backend.stop()
        bound = acknowledged + BOUNDS["EvacuationMs"] / 1000
        late = sorted(when for one in backends if one.zone == ZONE for when, _ in one.runs if when > bound)
        others = sum(when > bound for one in backends if one.zone != ZONE for when, _ in one.runs)
        record.show(
            f"later than EvacuationMs after the acknowledgement: {len(late)} requests ran in {ZONE}, "
            f"{others} elsewhere"
        )
        if not others and not late:
            raise CouldNotRunError("no requests were served")
        if late:
            record.show(
                f"EVAC broken: the first one {late[0] - acknowledged:.2f} s after the acknowledgement"
            )
        return 1 if late else 0


if __name__ == "__main__":
    random.seed()
    run(play, HERE)
