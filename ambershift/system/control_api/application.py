"""The HTTP side of a control node: one ASGI application for operators, backends, applications and clients."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from ambershift.system.control_api import asgi, log_events
from ambershift.system.control_api.configuration_calls import MODIFY, ConfigurationCalls
from ambershift.system.control_api.coordination_calls import Applications
from ambershift.system.control_api.evacuations import Evacuations
from ambershift.system.control_api.forwarding import REFUSED, Forwarding
from ambershift.system.control_api.pause_detector import PauseDetector
from ambershift.system.control_api.pending_calls import OpenCalls, Sender
from ambershift.system.control_api.proposer_selection import Proposers
from ambershift.system.control_api.registry_interface import Registry
from ambershift.system.control_api.watches import WATCH, Watches
from ambershift.system.coordination.calls import MAX_BODY_BYTES, PARSERS, SNAPSHOT_GROUP
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.request_fields import InvalidCallError, parse_body
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ReplicatedState
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse, GroupChanged
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

RPC, NUMBERS, WATCHES = "/ambershift/rpc", "/ambershift/numbers/", "/ambershift/watch/"
RESOLUTION = "/ambershift/resolution"
MEMBERS = "/ambershift/members"
CONFIGURATION_MOST = 64 << 20
FRONTS_MOST = 64
TTL = 2.0
WAIT_MOST = 60_000  # ms
HISTORY_MARGIN = 10.0  # Seconds beyond `HistoryS`, as answers may be late.

Log = Callable[[int, dict[str, Any]], None]


class ControlApi:
    """`steady` is the steady clock in ns. `send` brings a message to a control node's ip, or loses it. The
    shell calls `tick` many times a second, and hands `hear` what comes for it. Calls are numbered from
    `begin`, which no other life of this machine may ever come upon: by chance, if none is given."""

    def __init__(
        self,
        settings: Local,
        ledger: ReplicatedState,
        registry: Registry,
        steady: Callable[[], int],
        send: Sender,
        log: Log,
        begin: int | None = None,
    ) -> None:
        self._settings, self._ledger, self._registry = settings, ledger, registry
        self._steady, self._log = steady, log
        open_calls = OpenCalls(send, secrets.randbits(62) if begin is None else begin)
        proposers = Proposers(ledger, settings.ip, steady)
        ages = RevisionAges(int((settings.bounds.history + HISTORY_MARGIN) * NS_PER_SECOND))
        self._open_calls, self._pauses = open_calls, PauseDetector()
        forwarding = Forwarding(ledger, settings.ip, steady, open_calls, proposers, log)
        self._configuration = ConfigurationCalls(ledger, steady, send, open_calls, forwarding, log)
        self._evacuations = Evacuations(settings, ledger, steady, log)
        self._watches = Watches(ledger, settings.ip, steady, send, open_calls, proposers, ages)
        self._applications = Applications(
            ledger, settings.ip, steady, send, open_calls, proposers, forwarding, ages, log, self._watches
        )
        self._watches.serve(self._applications)
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self) -> None:
        """Notices when the process was stopped, and looks after watches."""
        stopped = self._pauses.beat(self._steady())
        if stopped:
            self._log(log_events.WOKEN, {"stopped_ms": stopped // NS_PER_MS})
        self._watches.tick()

    def close(self) -> None:
        """The process is about to end: answer all that only waits."""
        self._watches.close()

    def hear(self, sender: str, message: msgspec.Struct) -> None:
        """A message of `messages.forwarding` from another control node."""
        if isinstance(message, ForwardedCall):
            self._spawn(self._bearer(message.operation).carry_out(sender, message))
        elif isinstance(message, ForwardedResponse):
            self._open_calls.settle(sender, message)
        elif isinstance(message, GroupChanged):
            self._spawn(self._watches.stirred(sender, message))

    def _bearer(self, name: str) -> Watches | ConfigurationCalls | Applications:
        """Who carries a forwarded call of that name out."""
        if name == WATCH:
            return self._watches
        return self._configuration if name == MODIFY else self._applications

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (why := task.exception()) is not None:
            self._log(log_events.FAILED, {"on": "forwarded call", "error": repr(why)[:200]})

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["type"] != "http":
            return  # The shell asks uvicorn for neither lifespan nor websockets.
        try:
            found = await self._route(scope, receive)
        except asgi.TooLargeError:
            found = json_reply(413, Cause="the body is too large")
        except InvalidCallError as why:
            found = json_reply(400, Cause=f"{why.field}: {why.reason}")
        except asgi.GoneError:
            return
        except Exception as why:  # The caller must hear something; 500 promises nothing.
            self._log(log_events.FAILED, {"on": scope["path"][:80], "error": repr(why)[:200]})
            found = json_reply(500, Cause="failed")
        await asgi.answer(send, found)

    async def _route(self, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        path, method = scope["path"], scope["method"]
        if path == RPC:
            if method != "POST":
                return json_reply(405)
            asked = asgi.query(scope)
            return await self._rpc(asked.get("call", ""), asked.get("of", ""), scope, receive)
        if path.startswith(NUMBERS):
            if method != "POST":
                return json_reply(405)
            return await self._ask("numbers", path.removeprefix(NUMBERS), scope, receive)
        if path.startswith(WATCHES):
            return (
                json_reply(405) if method != "GET" else await self._watch(scope, path.removeprefix(WATCHES))
            )
        if path == MEMBERS:
            return json_reply(405) if method != "GET" else self._members()
        if path == RESOLUTION:
            return json_reply(405) if method != "GET" else self._resolution(asgi.query(scope))
        return json_reply(404)

    async def _rpc(self, name: str, of: str, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        if name in PARSERS and name not in (SNAPSHOT_GROUP, "numbers"):
            return await self._ask(name, of, scope, receive)
        most = CONFIGURATION_MOST if name == MODIFY else MAX_BODY_BYTES
        body = await asgi.read_whole(scope, receive, most)
        if name == "instances.heartbeat":
            status, fields = await self._registry.heartbeat(of, parse_body(body))
            return json_reply(status, **fields)
        if name == "instances.deregister":
            status, fields = await self._registry.deregister(of)
            return json_reply(status, **fields)
        if name == MODIFY:
            return await self._configuration.modify(body)
        if name == "configuration.retrieve":
            return await self._configuration.retrieve()
        if name in ("evacuation.initiate", "evacuation.terminate"):
            # A late one would undo what was ordered since, and no version tells that it is late.
            await asgi.still_there(receive)
            if self._pauses.stale(self._steady()):
                return REFUSED
            return await self._evacuations.evacuate(of, name == "evacuation.initiate")
        return json_reply(404)

    async def _ask(self, name: str, of: str, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        body = await asgi.read_whole(scope, receive, MAX_BODY_BYTES)
        if self._pauses.stale(self._steady()):
            return REFUSED
        return await self._applications.ask(name, of, body)

    async def _watch(self, scope: asgi.Scope, name: str) -> Reply:
        asked = asgi.query(scope)
        try:
            after, wait = int(asked.get("after", "0")), int(asked.get("WaitMs", "0"))
        except ValueError:
            return json_reply(400, Cause="after or WaitMs: is not a whole number")
        if not name or after < 0:
            return json_reply(400, Cause="after: is below 0, or the group has no name")
        return await self._watches.watch(name, after, min(max(wait, 0), WAIT_MOST) * NS_PER_MS)

    def _members(self) -> Reply:
        """For operators: who votes, and how many copies are complete, as this machine sees it."""
        found = self._ledger.membership_status()
        return (
            json_reply(503, Cause="not started") if found is None else Reply(200, msgspec.json.encode(found))
        )

    def _resolution(self, asked: dict[str, str]) -> Reply:
        addresses = list(
            self._registry.proxy_addresses(
                asked.get("Region", ""), asked.get("Zone", ""), asked.get("Name", "")
            )
        )
        if not addresses:
            return json_reply(503, Cause="no proxy is known yet")
        return json_reply(
            200, Addresses=addresses[:FRONTS_MOST], TtlS=min(TTL, self._settings.bounds.ttl_most)
        )
