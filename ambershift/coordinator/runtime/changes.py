"""Changes: what a changing command wants, read from its words in HAProxy's manner."""

from __future__ import annotations

import re

from ambershift.coordinator.admin.changes import MAX_RELATIVE_WEIGHT, MAX_WEIGHT
from ambershift.coordinator.admin.types import Change, Health, Reason, Refused, State, Weight
from ambershift.coordinator.admin.view import View
from ambershift.coordinator.runtime.scene import Scene

STATES = {"ready": State.READY, "drain": State.DRAIN, "maint": State.MAINT}
HEALTHS = {"up": Health.UP, "stopping": Health.STOPPING, "down": Health.DOWN}
FIGURE = re.compile(r"[0-9]+(\.[0-9]+)?")
FIGURE_LONGEST = 20
# What HAProxy sets on a server and this program can't, each with its reason.
NOT_OURS = {
    "addr": "discovery tells the addresses of servers",
    "port": "discovery tells the addresses of servers",
    "fqdn": "there are no names to look up",
    "ssl": "a coordinator ends no TLS",
    "agent": "there are no agent checks",
    "agent-addr": "there are no agent checks",
    "agent-port": "there are no agent checks",
    "agent-send": "there are no agent checks",
    "check-addr": "there are no health checks",
    "check-port": "there are no health checks",
}


class BadCommandError(Exception):
    """A command that can't be carried out as it stands; the message is for a person."""


def named(scene: Scene, view: View, word: str) -> list[int]:
    """The servers that ZONE/ID or ZONE/* names, at least one."""
    backend, slash, name = word.partition("/")
    if not slash or not backend or not name:
        raise BadCommandError("Require 'backend/server'.")
    zone = scene.zone(backend)
    if zone is None:
        raise BadCommandError(f"No such backend '{backend}'; the zones are: {', '.join(scene.names.zones)}.")
    if name == "*":
        members = scene.servers(view, zone)
        if not members:
            raise BadCommandError(f"No servers in backend '{backend}'.")
        return members
    server = scene.door.lookup(name)
    if server is None or server not in view.inventory.listed or view.inventory.listed[server].zone != zone:
        raise BadCommandError(f"No such server '{name}' in backend '{backend}'.")
    return [server]


def read_weight(text: str) -> Weight | None:
    """A figure from 0 to 256, or a part from 0% to 100%; 100% is the listed weight, which is None."""
    if not text:
        raise BadCommandError("Empty weight.")
    digits, relative = text.removesuffix("%"), text.endswith("%")
    if text.startswith("-"):
        raise BadCommandError(
            "Relative weight must be positive."
            if relative
            else "Absolute weight can only be between 0 and 256 inclusive."
        )
    if not FIGURE.fullmatch(digits) or len(digits) > FIGURE_LONGEST:
        raise BadCommandError(f"Trailing garbage in weight string '{text[:40]}'.")
    if relative:
        if float(digits) / 100 > MAX_RELATIVE_WEIGHT:
            raise BadCommandError("Relative weight can only be between 0 and 100% inclusive.")
        return None if float(digits) / 100 == 1 else Weight(float(digits) / 100, True)
    if float(digits) > MAX_WEIGHT:
        raise BadCommandError("Absolute weight can only be between 0 and 256 inclusive.")
    return Weight(float(digits), False)


def weight_changes(servers: list[int], text: str) -> list[Change]:
    weight = read_weight(text)
    return [Change(server, weight=weight, as_listed=weight is None) for server in servers]


def read_changes(scene: Scene, view: View, words: tuple[str, ...]) -> list[Change] | None:
    """The changes that a command wants, or None where it is none that changes servers."""
    match words:
        case ("disable" | "enable" as verb, "server", *rest):
            state = State.MAINT if verb == "disable" else State.READY
            return [Change(server, state=state) for server in named(scene, view, only(rest))]
        case ("set", "weight", target, weight):
            return weight_changes(named(scene, view, target), weight)
        case ("set", "weight", *_):
            raise BadCommandError("'set weight' takes <backend>/<server> and <weight>[%].")
        case ("set", "server", target, what, *rest):
            return set_server(named(scene, view, target), what, rest)
        case ("set", "server", *_):
            raise BadCommandError("'set server' takes <backend>/<server> and one of: state, weight, health.")
    return None


def only(words: list[str]) -> str:
    if len(words) != 1:
        raise BadCommandError("Require one 'backend/server'.")
    return words[0]


def set_server(servers: list[int], what: str, rest: list[str]) -> list[Change]:
    if what in NOT_OURS:
        raise BadCommandError(f"Refused (not-here): 'set server {what}': {NOT_OURS[what]}.")
    if what not in ("state", "weight", "health"):
        raise BadCommandError(f"'set server' knows state, weight and health, not '{what}'.")
    if len(rest) != 1:
        raise BadCommandError(f"'set server ... {what}' takes one word behind it.")
    if what == "weight":
        return weight_changes(servers, rest[0])
    if what == "state":
        if rest[0] not in STATES:
            raise BadCommandError("'set server <srv> state' expects 'ready', 'drain' and 'maint'.")
        return [Change(server, state=STATES[rest[0]]) for server in servers]
    if rest[0] not in HEALTHS:
        raise BadCommandError("'set server <srv> health' expects 'up', 'stopping' or 'down'.")
    return [Change(server, health=HEALTHS[rest[0]]) for server in servers]


def tell_refused(scene: Scene, view: View, refused: Refused) -> str:
    """Why, in a sentence that names the reason and what it is about."""
    return f"Refused ({refused.reason.value}): {why_refused(scene, view, refused)}."


def why_refused(scene: Scene, view: View, refused: Refused) -> str:
    known = refused.server in view.inventory.listed
    server = scene.title(view, refused.server) if known else f"server {refused.server}"
    texts = {
        Reason.NO_SUCH_SERVER: "no such server",
        Reason.ZONE_WITHOUT_WARM: f"without {server} zone {scene.zone_name(refused.zone)} would have no "
        "ready warm server; make another one ready first, or wait until one is "
        "warm",
        Reason.GROUP_WITHOUT_WARM: f"without {server} no traffic group would have a ready warm server "
        "anywhere; make another one ready first, or wait until one is warm",
        Reason.WEIGHT_OUT_OF_RANGE: f"{server}: a weight lies between 0 and 256, a part between 0 and 100%",
        Reason.TOO_MANY_WAIT: "too many wishes are on their way; see 'show pending' and whether the relay "
        "answers",
        Reason.STOPPING: "the coordinator ends; send it to the next one",
    }
    return texts[refused.reason]
