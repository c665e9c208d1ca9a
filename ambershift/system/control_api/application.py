"""The HTTP side of a control node: one ASGI application for operators, backends, applications and clients."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec

from ambershift.system.control_api import asgi, log_events, routes
from ambershift.system.control_api.configuration_calls import ConfigurationCalls
from ambershift.system.control_api.context import NodeContext
from ambershift.system.control_api.coordination_calls import CoordinationCalls, invalid_call_reply
from ambershift.system.control_api.directory_calls import DirectoryCalls
from ambershift.system.control_api.evacuations import EvacuationCall, Evacuations
from ambershift.system.control_api.forwarding import NOT_APPLIED, Forwarding
from ambershift.system.control_api.group_waiters import GroupWaiters
from ambershift.system.control_api.pause_detector import PauseDetector
from ambershift.system.control_api.pending_calls import PendingCalls
from ambershift.system.control_api.proposer_selection import ProposerSelector
from ambershift.system.control_api.registry_interface import Registry
from ambershift.system.control_api.watches import Watches
from ambershift.system.coordination.calls import MAX_BODY_BYTES, NEXT_NUMBER, PARSERS, SNAPSHOT_GROUP
from ambershift.system.coordination.replies import Reply, json_reply
from ambershift.system.coordination.request_fields import InvalidCallError, parse_body
from ambershift.system.coordination.revision_ages import RevisionAges
from ambershift.system.messages.forwarding import ForwardedCall, ForwardedResponse, GroupChanged
from ambershift.system.settings.process_settings import ProcessSettings
from ambershift.system.state_machine import NS_PER_MS, NS_PER_SECOND

MAX_CONFIGURATION_BYTES = 64 << 20
MAX_WAIT_MS = 60_000
HISTORY_MARGIN_S = 10.0  # Events are retained so much longer than `HistoryS`, as replies may be late.
MAX_LOGGED_ERROR_LENGTH = 200
MAX_LOGGED_PATH_LENGTH = 80

# The operations on registers that callers name by the query of an RPC; numbers have a path of their own.
COORDINATION_OPERATIONS = PARSERS.keys() - {NEXT_NUMBER, SNAPSHOT_GROUP}

# Takes the id that the call is about, its body, and the ASGI callable for what else comes from the caller.
RpcHandler = Callable[[str, bytes, asgi.Receive], Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class _Route:
    """Which handler serves which requests.

    Attributes:
        path: The complete path, or its start where it ends in a slash.
        method: The only HTTP method; others get 405.
        handle: Takes the scope, the ASGI callable for the body, and what follows `path`.
    """

    path: str
    method: str
    handle: Callable[[asgi.Scope, asgi.Receive, str], Awaitable[Reply]]

    def matches(self, path: str) -> bool:
        return path.startswith(self.path) if self.path.endswith("/") else path == self.path


class ControlApi:
    """The ASGI application, and the other control nodes' calls.

    The process calls `tick` many times a second, and `handle_message` with what other control nodes send.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        context: NodeContext,
        registry: Registry,
        first_call_number: int | None = None,
    ) -> None:
        """Wire the parts.

        Args:
            settings: The node's settings.
            context: The node's identity, storage, clock, network and log.
            registry: The registry of backends and proxies.
            first_call_number: Where the numbers of this node's calls begin. No other incarnation of this node
                may ever reach them; drawn at random by default.
        """
        self._registry = registry
        self._monotonic_ns = context.monotonic_ns
        self._log = context.log
        self._pause_detector = PauseDetector()
        first_number = secrets.randbits(62) if first_call_number is None else first_call_number
        self._pending_calls = PendingCalls(context.send, first_number)
        forwarding = Forwarding(context, self._pending_calls, ProposerSelector(context))
        retention_ns = int((settings.bounds.history + HISTORY_MARGIN_S) * NS_PER_SECOND)
        waiters = GroupWaiters(context)
        self._coordination = CoordinationCalls(context, forwarding, RevisionAges(retention_ns), waiters)
        self._watches = Watches(context, forwarding, self._coordination, waiters)
        self._configuration = ConfigurationCalls(context, forwarding)
        self._evacuations = Evacuations(context, settings, self._pause_detector)
        self._directory = DirectoryCalls(settings, context.store, registry)
        self._tasks: set[asyncio.Task[None]] = set()
        self._routes = (
            _Route(routes.RPC_PATH, "POST", self._handle_rpc),
            _Route(routes.NUMBERS_PATH_PREFIX, "POST", self._handle_number),
            _Route(routes.WATCH_PATH_PREFIX, "GET", self._handle_watch),
            _Route(routes.MEMBERS_PATH, "GET", self._handle_members),
            _Route(routes.RESOLUTION_PATH, "GET", self._handle_resolution),
        )
        self._rpc_handlers: dict[str, RpcHandler] = {
            routes.HEARTBEAT_INSTANCE: self._heartbeat_instance,
            routes.DEREGISTER_INSTANCE: self._deregister_instance,
            routes.MODIFY_CONFIGURATION: self._modify_configuration,
            routes.RETRIEVE_CONFIGURATION: self._retrieve_configuration,
            routes.INITIATE_EVACUATION: self._initiate_evacuation,
            routes.TERMINATE_EVACUATION: self._terminate_evacuation,
        }

    def tick(self) -> None:
        """Notices that the process was stopped, and reads watched groups again."""
        stopped_ns = self._pause_detector.tick(self._monotonic_ns())
        if stopped_ns:
            self._log(log_events.PROCESS_RESUMED, {"stopped_ms": stopped_ns // NS_PER_MS})
        self._watches.tick()

    def close(self) -> None:
        """The process is about to end: reply to all watches."""
        self._watches.close()

    def handle_message(self, sender: str, message: msgspec.Struct) -> None:
        """A message of `messages.forwarding` has come from another control node (by ip)."""
        if isinstance(message, ForwardedCall):
            self._start_task(self._handler_of(message.operation).handle_forwarded(sender, message))
        elif isinstance(message, ForwardedResponse):
            self._pending_calls.complete(sender, message)
        elif isinstance(message, GroupChanged):
            self._start_task(self._watches.handle_group_changed(sender, message))

    def _handler_of(self, operation: str) -> Watches | ConfigurationCalls | CoordinationCalls:
        if operation == routes.WATCH_OPERATION:
            return self._watches
        return self._configuration if operation == routes.MODIFY_CONFIGURATION else self._coordination

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_finished)

    def _task_finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log_error("forwarded call", error)

    def _log_error(self, place: str, error: BaseException) -> None:
        fields = {"on": place, "error": repr(error)[:MAX_LOGGED_ERROR_LENGTH]}
        self._log(log_events.INTERNAL_ERROR, fields)

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request (ASGI)."""
        if scope["type"] != "http":
            return  # The process asks uvicorn for neither lifespan nor websockets.
        try:
            reply = await self._route(scope, receive)
        except asgi.BodyTooLargeError:
            reply = json_reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Cause="the body is too large")
        except InvalidCallError as error:
            reply = invalid_call_reply(error)
        except asgi.CallerDisconnectedError:
            return
        except Exception as error:  # The caller must get an answer; 500 promises nothing.
            self._log_error(scope["path"][:MAX_LOGGED_PATH_LENGTH], error)
            reply = json_reply(HTTPStatus.INTERNAL_SERVER_ERROR, Cause="failed")
        await asgi.send_reply(send, reply)

    async def _route(self, scope: asgi.Scope, receive: asgi.Receive) -> Reply:
        path = scope["path"]
        for route in self._routes:
            if route.matches(path):
                if scope["method"] != route.method:
                    return json_reply(HTTPStatus.METHOD_NOT_ALLOWED)
                return await route.handle(scope, receive, path.removeprefix(route.path))
        return json_reply(HTTPStatus.NOT_FOUND)

    async def _handle_rpc(self, scope: asgi.Scope, receive: asgi.Receive, _rest: str) -> Reply:
        parameters = asgi.query_parameters(scope)
        return await self._dispatch_rpc(parameters.get("call", ""), parameters.get("of", ""), scope, receive)

    async def _dispatch_rpc(
        self, operation: str, subject_id: str, scope: asgi.Scope, receive: asgi.Receive
    ) -> Reply:
        if operation in COORDINATION_OPERATIONS:
            return await self._coordination_call(operation, subject_id, scope, receive)
        modifies = operation == routes.MODIFY_CONFIGURATION
        body = await asgi.read_body(scope, receive, MAX_CONFIGURATION_BYTES if modifies else MAX_BODY_BYTES)
        handler = self._rpc_handlers.get(operation)
        if handler is None:
            return json_reply(HTTPStatus.NOT_FOUND)
        return await handler(subject_id, body, receive)

    async def _heartbeat_instance(self, instance_id: str, body: bytes, _receive: asgi.Receive) -> Reply:
        status, fields = await self._registry.heartbeat(instance_id, parse_body(body))
        return json_reply(status, **fields)

    async def _deregister_instance(self, instance_id: str, _body: bytes, _receive: asgi.Receive) -> Reply:
        status, fields = await self._registry.deregister(instance_id)
        return json_reply(status, **fields)

    async def _modify_configuration(self, _id: str, body: bytes, _receive: asgi.Receive) -> Reply:
        return await self._configuration.modify(body)

    async def _retrieve_configuration(self, _id: str, _body: bytes, _receive: asgi.Receive) -> Reply:
        return await self._configuration.retrieve()

    async def _initiate_evacuation(self, zone: str, _body: bytes, receive: asgi.Receive) -> Reply:
        return await self._set_evacuated(zone, True, receive)

    async def _terminate_evacuation(self, zone: str, _body: bytes, receive: asgi.Receive) -> Reply:
        return await self._set_evacuated(zone, False, receive)

    async def _set_evacuated(self, zone: str, evacuated: bool, receive: asgi.Receive) -> Reply:
        call = EvacuationCall(zone, evacuated, self._monotonic_ns())
        connection = asgi.CallerConnection(receive)
        try:
            return await self._evacuations.execute(call, connection)
        finally:
            connection.stop_watching()

    async def _coordination_call(
        self, operation: str, subject_id: str, scope: asgi.Scope, receive: asgi.Receive
    ) -> Reply:
        body = await asgi.read_body(scope, receive, MAX_BODY_BYTES)
        if self._pause_detector.is_stale(self._monotonic_ns()):
            return NOT_APPLIED
        return await self._coordination.execute(operation, subject_id, body)

    async def _handle_number(self, scope: asgi.Scope, receive: asgi.Receive, name: str) -> Reply:
        return await self._coordination_call(NEXT_NUMBER, name, scope, receive)

    async def _handle_watch(self, scope: asgi.Scope, _receive: asgi.Receive, group: str) -> Reply:
        parameters = asgi.query_parameters(scope)
        try:
            after = int(parameters.get("after", "0"))
            wait_ms = int(parameters.get("WaitMs", "0"))
        except ValueError:
            return json_reply(HTTPStatus.BAD_REQUEST, Cause="after or WaitMs: is not a whole number")
        if not group or after < 0:
            return json_reply(HTTPStatus.BAD_REQUEST, Cause="after: is below 0, or the group has no name")
        return await self._watches.watch(group, after, min(max(wait_ms, 0), MAX_WAIT_MS) * NS_PER_MS)

    async def _handle_members(self, _scope: asgi.Scope, _receive: asgi.Receive, _rest: str) -> Reply:
        return self._directory.describe_members()

    async def _handle_resolution(self, scope: asgi.Scope, _receive: asgi.Receive, _rest: str) -> Reply:
        return self._directory.resolve(asgi.query_parameters(scope))
