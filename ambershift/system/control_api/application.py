"""The HTTP side of a control node: one ASGI application for operators, backends, applications and clients."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from ambershift.system.control_api import asgi, log_events
from ambershift.system.control_api.configuration_calls import MODIFY_CONFIGURATION, ConfigurationCalls
from ambershift.system.control_api.coordination_calls import CoordinationCalls
from ambershift.system.control_api.evacuations import Evacuations
from ambershift.system.control_api.forwarding import NOT_APPLIED, Forwarding
from ambershift.system.control_api.pause_detector import PauseDetector
from ambershift.system.control_api.pending_calls import PendingCalls, Sender
from ambershift.system.control_api.proposer_selection import ProposerSelector
from ambershift.system.control_api.registry_interface import Registry
from ambershift.system.control_api.watches import WATCH_OPERATION, Watches
from ambershift.system.coordination.calls import MAX_BODY_BYTES, PARSERS, SNAPSHOT_GROUP
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.request_fields import InvalidCallError, parse_body
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.interfaces import ReplicatedState
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse, GroupChanged
from ambershift.system.settings.local import Local
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

RPC_PATH, NUMBERS_PATH_PREFIX, WATCH_PATH_PREFIX = (
    "/ambershift/rpc",
    "/ambershift/numbers/",
    "/ambershift/watch/",
)
RESOLUTION_PATH = "/ambershift/resolution"
MEMBERS_PATH = "/ambershift/members"
MAX_CONFIGURATION_BYTES = 64 << 20
MAX_RESOLVED_ADDRESSES = 64
RESOLUTION_TTL_S = 2.0
MAX_WAIT_MS = 60_000  # ms
HISTORY_MARGIN_S = 10.0  # Seconds beyond `HistoryS`, as answers may be late.

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
        first_call_number: int | None = None,
    ) -> None:
        self._settings, self._ledger, self._registry = settings, ledger, registry
        self._steady, self._log = steady, log
        open_calls = PendingCalls(
            send, secrets.randbits(62) if first_call_number is None else first_call_number
        )
        proposers = ProposerSelector(ledger, settings.ip, steady)
        ages = RevisionAges(int((settings.bounds.history + HISTORY_MARGIN_S) * NS_PER_SECOND))
        self._open_calls, self._pause_detector = open_calls, PauseDetector()
        forwarding = Forwarding(ledger, settings.ip, steady, open_calls, proposers, log)
        self._configuration = ConfigurationCalls(ledger, steady, send, open_calls, forwarding, log)
        self._evacuations = Evacuations(settings, ledger, steady, log)
        self._watches = Watches(ledger, settings.ip, steady, send, open_calls, proposers, ages)
        self._coordination = CoordinationCalls(
            ledger, settings.ip, steady, send, open_calls, proposers, forwarding, ages, log, self._watches
        )
        self._watches.serve(self._coordination)
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self) -> None:
        """Notices when the process was stopped, and looks after watches."""
        stopped = self._pause_detector.tick(self._steady())
        if stopped:
            self._log(log_events.PROCESS_RESUMED, {"stopped_ms": stopped // NS_PER_MS})
        self._watches.tick()

    def close(self) -> None:
        """The process is about to end: answer all that only waits."""
        self._watches.close()

    def handle_message(self, sender: str, message: msgspec.Struct) -> None:
        """A message of `messages.forwarding` from another control node."""
        if isinstance(message, ForwardedCall):
            self._start_task(self._handler_of(message.operation).handle_forwarded(sender, message))
        elif isinstance(message, ForwardedResponse):
            self._open_calls.complete(sender, message)
        elif isinstance(message, GroupChanged):
            self._start_task(self._watches.handle_group_changed(sender, message))

    def _handler_of(self, name: str) -> Watches | ConfigurationCalls | CoordinationCalls:
        """Who carries a forwarded call of that name out."""
        if name == WATCH_OPERATION:
            return self._watches
        return self._configuration if name == MODIFY_CONFIGURATION else self._coordination

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_finished)

    def _task_finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (why := task.exception()) is not None:
            self._log(log_events.INTERNAL_ERROR, {"on": "forwarded call", "error": repr(why)[:200]})

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["type"] != "http":
            return  # The shell asks uvicorn for neither lifespan nor websockets.
        try:
            found = await self._route(scope, receive)
        except asgi.BodyTooLargeError:
            found = json_reply(413, Cause="the body is too large")
        except InvalidCallError as why:
            found = json_reply(400, Cause=f"{why.field}: {why.reason}")
        except asgi.CallerDisconnectedError:
            return
        except Exception as why:  # The caller must hear something; 500 promises nothing.
            self._log(log_events.INTERNAL_ERROR, {"on": scope["path"][:80], "error": repr(why)[:200]})
            found = json_reply(500, Cause="failed")
        await asgi.send_reply(send, found)

    async def _route(self, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        path, method = scope["path"], scope["method"]
        if path == RPC_PATH:
            if method != "POST":
                return json_reply(405)
            asked = asgi.query_parameters(scope)
            return await self._dispatch_rpc(asked.get("call", ""), asked.get("of", ""), scope, receive)
        if path.startswith(NUMBERS_PATH_PREFIX):
            if method != "POST":
                return json_reply(405)
            return await self._coordination_call(
                "numbers", path.removeprefix(NUMBERS_PATH_PREFIX), scope, receive
            )
        if path.startswith(WATCH_PATH_PREFIX):
            return (
                json_reply(405)
                if method != "GET"
                else await self._handle_watch(scope, path.removeprefix(WATCH_PATH_PREFIX))
            )
        if path == MEMBERS_PATH:
            return json_reply(405) if method != "GET" else self._describe_members()
        if path == RESOLUTION_PATH:
            return json_reply(405) if method != "GET" else self._resolve(asgi.query_parameters(scope))
        return json_reply(404)

    async def _dispatch_rpc(self, name: str, of: str, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        if name in PARSERS and name not in (SNAPSHOT_GROUP, "numbers"):
            return await self._coordination_call(name, of, scope, receive)
        most = MAX_CONFIGURATION_BYTES if name == MODIFY_CONFIGURATION else MAX_BODY_BYTES
        body = await asgi.read_body(scope, receive, most)
        if name == "instances.heartbeat":
            status, fields = await self._registry.heartbeat(of, parse_body(body))
            return json_reply(status, **fields)
        if name == "instances.deregister":
            status, fields = await self._registry.deregister(of)
            return json_reply(status, **fields)
        if name == MODIFY_CONFIGURATION:
            return await self._configuration.modify(body)
        if name == "configuration.retrieve":
            return await self._configuration.retrieve()
        if name in ("evacuation.initiate", "evacuation.terminate"):
            # A late one would undo what was ordered since, and no version tells that it is late.
            await asgi.ensure_connected(receive)
            if self._pause_detector.is_stale(self._steady()):
                return NOT_APPLIED
            return await self._evacuations.set_evacuated(of, name == "evacuation.initiate")
        return json_reply(404)

    async def _coordination_call(self, name: str, of: str, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        body = await asgi.read_body(scope, receive, MAX_BODY_BYTES)
        if self._pause_detector.is_stale(self._steady()):
            return NOT_APPLIED
        return await self._coordination.execute(name, of, body)

    async def _handle_watch(self, scope: asgi.Scope, name: str) -> Reply:
        asked = asgi.query_parameters(scope)
        try:
            after, wait = int(asked.get("after", "0")), int(asked.get("WaitMs", "0"))
        except ValueError:
            return json_reply(400, Cause="after or WaitMs: is not a whole number")
        if not name or after < 0:
            return json_reply(400, Cause="after: is below 0, or the group has no name")
        return await self._watches.watch(name, after, min(max(wait, 0), MAX_WAIT_MS) * NS_PER_MS)

    def _describe_members(self) -> Reply:
        """For operators: who votes, and how many copies are complete, as this machine sees it."""
        found = self._ledger.membership_status()
        return (
            json_reply(503, Cause="not started") if found is None else Reply(200, msgspec.json.encode(found))
        )

    def _resolve(self, asked: dict[str, str]) -> Reply:
        addresses = list(
            self._registry.proxy_addresses(
                asked.get("Region", ""), asked.get("Zone", ""), asked.get("Name", "")
            )
        )
        if not addresses:
            return json_reply(503, Cause="no proxy is known yet")
        return json_reply(
            200,
            Addresses=addresses[:MAX_RESOLVED_ADDRESSES],
            TtlS=min(RESOLUTION_TTL_S, self._settings.bounds.ttl_most),
        )
