"""Lookup: finds a command in the catalogue, and those that are like words that are none."""

from __future__ import annotations

from ambershift.coordinator.runtime.catalogue import TABLE, Entry


class Node:
    """A trie over the words of the commands, so that a command is found in as many steps as it has words."""

    __slots__ = ("entry", "next")

    def __init__(self) -> None:
        self.entry: Entry | None = None
        self.next = dict[str, Node]()


def build(table: tuple[Entry, ...]) -> Node:
    root = Node()
    for entry in table:
        node = root
        for word in entry.path:
            node = node.next.setdefault(word, Node())
        assert node.entry is None, entry.name
        node.entry = entry
    return root


ROOT = build(TABLE)


def find(words: tuple[str, ...]) -> tuple[Entry, tuple[str, ...]] | None:
    """The command that the words begin with, the longest one, and what follows its name."""
    node, found = ROOT, None
    for at, word in enumerate(words):
        if word not in node.next:
            break
        node = node.next[word]
        if node.entry is not None:
            found = node.entry, words[at + 1 :]
    return found


def alike(words: tuple[str, ...], most: int = 8) -> list[Entry]:
    """The commands closest to words that are none: those that share the longest beginning, then by
    likeness.
    """

    def shared(entry: Entry) -> int:
        count = 0
        for one, other in zip(entry.path, words, strict=False):
            if one != other:
                break
            count += 1
        return count

    best = max(map(shared, TABLE))
    if best:
        return [entry for entry in TABLE if shared(entry) == best][:most]
    from difflib import get_close_matches  # Only here, as few need it.

    names = {entry.name: entry for entry in TABLE if entry.handler}
    first = {entry.path[0] for entry in names.values()}
    near = set(get_close_matches(words[0], first, 3, 0.6)) if words else set()
    return [entry for entry in names.values() if entry.path[0] in near][:most]
