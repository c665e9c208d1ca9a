"""The servers that `requests` measures, one a process: a backend, a proxy before it, a node's calls."""

from __future__ import annotations

import asyncio
import random
import sys
import time

import uvloop

from ambershift.system.control_api.application import ControlApi
from ambershift.system.control_api.context import NodeContext
from ambershift.system.messages import proxy_link
from ambershift.system.processes.http_server import bind_listener, create_server
from ambershift.system.proxy.server import ProxyServer
from ambershift.system.registry.service import RegistryIO, RegistryService
from benchmarks.capacity import world
from benchmarks.capacity.registry import ended
from benchmarks.capacity.world import SIZES, Size

BODY = b"r" * 1024


class Plain(asyncio.Protocol):
    """Answers each request at once with its id and a stamp."""

    def __init__(self) -> None:
        self.got = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data
        while b"\r\n\r\n" in self.got:
            head, _, self.got = self.got.partition(b"\r\n\r\n")
            attempt = head.lower().partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
            self.transport.write(  # type: ignore[attr-defined]
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: 3e1b.07\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (attempt, len(BODY), BODY)
            )


async def plain(address: str) -> None:
    host, _, port = address.rpartition(":")
    server = await asyncio.get_running_loop().create_server(Plain, host, int(port))
    print("up", flush=True)
    await server.serve_forever()


async def proxy(size: Size, address: str, backend: str) -> None:
    """All items and backends of the size; those of the first service are at one address."""
    made = ProxyServer(world.local(size), time.monotonic_ns, random.Random(1))
    made.handle_message(proxy_link.ControlNodeHeartbeat(world.cores(size), True, 1))
    made.handle_message(proxy_link.ItemUpdate(world.items(size), True))
    lives = [world.backend(size, at) for at in range(size.backends)]
    made.handle_message(
        proxy_link.BackendUpdate(
            tuple(
                proxy_link.Backend(
                    one.id,
                    one.service,
                    backend if one.service == world.service(0) else one.address,
                    one.zone,
                    one.slots,
                    False,
                    0,
                )
                for one in lives
            ),
            (),
            True,
        )
    )
    for at in range(size.services):
        made.handle_message(world.bind(size, at))
    await serve(made, address)


async def calls(size: Size, address: str) -> None:
    """A control node's HTTP with its registry, which has all backends and proxies."""
    ledger = world.Held(size)
    settings = world.local(size)
    registry = RegistryService(
        settings, ledger, RegistryIO(lambda *_: None, time.monotonic_ns, lambda *_: None), 1
    )
    for at in range(size.backends):
        ended(registry.heartbeat(world.backend(size, at).id, world.beat(size, at, 1)))
    for at in range(size.proxies):
        registry.proxy_connected(world.hello(size, at))
    context = NodeContext(
        ip=settings.ip,
        store=ledger,
        monotonic_ns=time.monotonic_ns,
        send=lambda *_: None,
        log=lambda *_: None,
    )
    api = ControlApi(settings, context, registry, first_call_number=1)
    await serve(api, address)


async def serve(application: object, address: str) -> None:
    server = create_server(application, 60, 1.0)
    bound = bind_listener(address)
    task = asyncio.ensure_future(server.serve(sockets=[bound]))
    while not server.started:
        await asyncio.sleep(0.01)
    print("up", flush=True)
    await task


def main() -> None:
    what, number, address, *more = sys.argv[1:]
    size = SIZES[int(number)]
    work = (
        plain(address)
        if what == "plain"
        else (proxy(size, address, more[0]) if what == "proxy" else calls(size, address))
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work)


if __name__ == "__main__":
    main()
