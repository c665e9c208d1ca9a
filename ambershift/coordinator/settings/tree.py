"""Reads HCL into plain values that keep their lines, so that each error can name file, line and key."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

import hcl2
from hcl2.rules.base import AttributeRule, BlockRule, BodyRule
from lark.exceptions import LarkError, UnexpectedInput


class SettingsError(Exception):
    """Settings that can't be used. The message names the file, the line where one is known, and the key."""

    def __init__(self, place: str, line: int, key: str, what: str) -> None:
        where = f"{place}:{line}" if line else place
        super().__init__(f"{where}: key '{key}': {what}" if key else f"{where}: {what}")
        self.line, self.key = line, key


class Value(NamedTuple):
    """An attribute's plain value: text, number, truth, list or object."""

    plain: Any
    line: int


class Block(NamedTuple):
    """A block with its labels; blocks of one name stand in their order."""

    labels: tuple[str, ...]
    line: int
    values: dict[str, Value]
    blocks: dict[str, list[Block]]


def parse(text: str, place: str) -> Block:
    """The whole file as one block without labels; `place` is the file's name, for errors."""
    try:
        tree = hcl2.parses(text if text.endswith("\n") else text + "\n")
    except UnexpectedInput as error:
        raise SettingsError(place, max(0, error.line), "", f"can't be read as HCL ({hint(error)})") from None
    except LarkError as error:
        raise SettingsError(place, 0, "", f"can't be read as HCL ({str(error).splitlines()[0]})") from None
    return read_body(tree.body, (), 1, place, "")


def hint(error: UnexpectedInput) -> str:
    token = getattr(error, "token", None)
    if token is not None and str(token).strip():
        return f"'{str(token).strip()[:40]}' can't stand here"
    return "something is missing or left open here, a value or a bracket"


def read_body(body: BodyRule, labels: tuple[str, ...], line: int, place: str, where: str) -> Block:
    block = Block(labels, line, {}, {})
    for child in body.children:
        if isinstance(child, AttributeRule):
            name, at = child.identifier.serialize(), child._meta.line
            if name in block.values or name in block.blocks:  # HCL2's reader would silently take the last.
                raise SettingsError(place, at, where + name, "stands here a second time")
            block.values[name] = Value(plain(child.expression.serialize(), place, at, where + name), at)
        elif isinstance(child, BlockRule):
            name, *rest = [unquote(label.serialize()) for label in child.labels]
            at = child._meta.line
            if name in block.values:
                raise SettingsError(place, at, where + name, "stands here a second time")
            inner = read_body(child.body, tuple(rest), at, place, f"{where}{name}.")
            block.blocks.setdefault(name, []).append(inner)
    return block


def unquote(text: str) -> str:
    return text[1:-1] if len(text) > 1 and text[0] == text[-1] == '"' else text


def plain(value: Any, place: str, line: int, key: str) -> Any:
    """Settings are values, not programs: what would have to be worked out is refused."""
    match value:
        case str() if "${" in value or "%{" in value or not value.startswith('"'):
            raise SettingsError(place, line, key, f"expressions and names have no meaning here: {value[:60]}")
        case str():
            return unescape(unquote(value), place, line, key)
        case list():
            return [plain(one, place, line, key) for one in value]
        case dict():
            return {
                unquote(str(name)): plain(one, place, line, f"{key}.{name}")
                for name, one in value.items()
                if not str(name).startswith("__")
            }
        case float() if not math.isfinite(value):
            raise SettingsError(place, line, key, "is no finite number")
    return value


ESCAPES = {"n": "\n", "t": "\t", "r": "\r", '"': '"', "\\": "\\"}


def unescape(text: str, place: str, line: int, key: str) -> str:
    if "\\" not in text:
        return text
    found, at = list[str](), 0
    while at < len(text):
        if text[at] == "\\":
            at += 1
            if at == len(text) or text[at] not in ESCAPES:
                raise SettingsError(place, line, key, f"unknown escape '\\{text[at : at + 1]}'")
            found.append(ESCAPES[text[at]])
        else:
            found.append(text[at])
        at += 1
    return "".join(found)
