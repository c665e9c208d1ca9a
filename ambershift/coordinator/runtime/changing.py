"""Changing: the commands that change servers, and those that wait for what became of it."""

from __future__ import annotations

from functools import partial

import orjson

from ambershift import interface as api
from ambershift.coordinator.admin.audit_log import TokenReused
from ambershift.coordinator.admin.types import Change, Refused
from ambershift.coordinator.runtime import lookup
from ambershift.coordinator.runtime.changes import BadCommandError, named, read_changes, tell_refused
from ambershift.coordinator.runtime.common import Common
from ambershift.coordinator.runtime.converse import read_delay
from ambershift.coordinator.runtime.grammar import Command, GrammarError, quote, read
from ambershift.coordinator.runtime.outcomes import DONE, WAIT, Answer, Outcome, Promise, Wait, error
from ambershift.coordinator.runtime.scene import Scene
from ambershift.coordinator.runtime.session import Session

TOKEN_MOST = 64
BAD_COMMAND = "bad-command"  # Under a token, a refusal that is told as it is, without its name.
ONCE = {"disable_server", "enable_server", "set_server", "set_weight", "apply"}


class Changing:
    scene: Scene

    def run(self, session: Session, command: Command) -> Outcome:
        raise NotImplementedError  # The executor's.

    def handle(self, session: Session, command: Command) -> Outcome:
        raise NotImplementedError  # The executor's; a BadCommandError is let through.

    def change(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        changes = read_changes(self.scene, self.scene.view(), command.words)
        assert changes is not None, command.words
        return self.carry_out(session, command, command.text, changes)

    do_disable_server = do_enable_server = do_set_server = do_set_weight = change

    def carry_out(self, session: Session, command: Command, text: str, changes: list[Change]) -> Outcome:
        """`text` is for records; a group is told the whole, as a token must come with the same again."""
        scene = self.scene
        if scene.common is not None and not scene.controller.stopping:
            return Promise(
                partial(
                    scene.common.promise,
                    session.who,
                    command.token,
                    whole(command),
                    changes,
                    session.idle or WAIT,
                )
            )
        outcome = scene.controller.command(scene.now(), session.who, text, changes)
        if isinstance(outcome, Refused):
            return error(tell_refused(scene, scene.view(), outcome))
        return DONE

    def do_apply(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        if rest or command.payload is None:
            raise BadCommandError("'apply <<' takes the commands as its payload, ended by an empty line.")
        changes, view = list[Change](), self.scene.view()
        for at, line in enumerate(command.payload.split("\n"), 1):
            try:
                row = read(line.encode())
                for one in row.commands:
                    some = read_changes(self.scene, view, one.words)
                    if some is None:
                        raise BadCommandError(f"'{one.text[:80]}' changes no server.")
                    changes += some
            except (BadCommandError, GrammarError) as bad:
                raise BadCommandError(f"line {at} of the payload: {bad} Nothing was changed.") from None
        return self.carry_out(session, command, f"apply of {len(changes)} changes", changes)

    def do_once(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        if len(rest) < 2 or len(rest[0]) > TOKEN_MOST:
            raise BadCommandError(f"'once' takes a token of up to {TOKEN_MOST} characters and a command.")
        token, words = rest[0], rest[1:]
        found = lookup.find(words)
        if found is None or found[0].handler not in ONCE:
            raise BadCommandError("'once' is for commands that change servers.")
        if session.level < found[0].level:
            return error("Permission denied")
        audit_log, inner = (
            self.scene.controller.audit_log,
            Command(words, " ".join(words), command.payload, token),
        )
        if self.scene.common is not None and not self.scene.controller.stopping:
            return self.once_in_group(self.scene.common, session, inner)
        key = orjson.dumps([*words, command.payload]).decode()
        try:
            known = audit_log.earlier_answer(token, key)
        except TokenReused:
            raise BadCommandError("this token was used for another command.") from None
        if known is not None:
            return error(known) if known else DONE
        outcome = self.run(session, inner)
        assert isinstance(outcome, Answer)
        text = "\n".join(outcome.lines)
        audit_log.remember_answer(token, key, text)
        return error(text) if text else DONE

    def once_in_group(self, common: Common, session: Session, inner: Command) -> Outcome:
        """The group has the answers. What can't even be read here, as this member's list lacks the server for
        one, may have been done under this token elsewhere: so its refusal is a promise too.
        """
        try:
            return self.handle(session, inner)
        except BadCommandError as bad:
            return Promise(
                partial(common.refuse, inner.token, whole(inner), BAD_COMMAND, str(bad), session.idle or WAIT)
            )

    def do_wait(self, session: Session, command: Command, rest: tuple[str, ...]) -> Outcome:
        if rest in ((), ("-h",)):
            return Answer(
                (
                    "usage: wait {-h | <delay>} [<condition> [<args>...]]",
                    "srv-drained <backend>/<server>: shut out at every proxy, and no try told any more",
                    "srv-applied <backend>/<server>: every joined proxy has applied the last wish",
                    "srv-removable <backend>/<server>: drained, and kept out by operator or list",
                )
            )
        scene, view = self.scene, self.scene.view()
        until = view.now + read_delay(rest[0], "ms")
        if len(rest) == 1:
            return Wait(until, None)
        if len(rest) != 3:
            raise BadCommandError("'wait <delay> <condition>' takes one backend/server.")
        servers, controller = named(scene, view, rest[2]), scene.controller
        match rest[1]:
            case "srv-applied":
                return Wait(until, lambda: controller.applied(servers))
            case "srv-drained":
                return Wait(until, lambda: controller.drained(servers, scene.now()))
            case "srv-removable":
                return Wait(
                    until,
                    lambda: (
                        controller.drained(servers, scene.now())
                        and all(
                            scene.entry(scene.view(), server).phase != api.Phase.READY for server in servers
                        )
                    ),
                )
        raise BadCommandError(
            f"'wait' knows srv-drained, srv-applied and srv-removable, not '{rest[1][:40]}'."
        )

    def do_clear_counters(self, session: Session, command: Command, rest: tuple[str, ...]) -> Answer:
        scene = self.scene
        scene.base = dict(scene.counts)
        scene.met_base = {
            server: (met.attempts, met.failures) for server, met in scene.view().data_plane.traffic.items()
        }
        return DONE


def whole(command: Command) -> str:
    """All of a command, payload too, written in one way."""
    words = " ".join(map(quote, command.words))
    return words if command.payload is None else f"{words}\n{command.payload}"
