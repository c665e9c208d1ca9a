"""The channel on which orders reach proxies, as the settings tell it."""

from __future__ import annotations

from typing import Any


class Channel:
    """Counts the lines that wait on the way to proxies, and the messages that each proxy got.

    As the settings tell it: a call is a message to each proxy that it has lines for, of `per_message` lines
    and its own; `egress_per_s` lines leave in a second.
    """

    def __init__(self, info: dict[str, Any]) -> None:
        self.per_s, self.head = float(info["egress_per_s"]), float(info["per_message"])
        self.tables, self.bound = dict[str, set[str]](), dict[int, str]()
        self.waiting = self.at = self.most = 0.0
        self.lines = 0
        self.messages = dict[int, list[float]]()

    def take(self, orders: list[str], joined: list[int], now: float) -> float:
        """Account for one call; gives the seconds until its last line has left."""
        lines = dict.fromkeys(joined, 0)
        for order in orders:
            kind, *words = order.split(",")
            users = [proxy for proxy in joined if self.bound.get(proxy) == words[0]]
            match kind:
                case "put":
                    lines_of = self.tables.setdefault(words[0], set())
                    (lines_of.add if float(words[2]) else lines_of.discard)(words[1])
                case "attach":
                    self.bound[int(words[0])] = words[1]
                    users = [int(words[0])] * (1 + len(self.tables.get(words[1], ())))
                case "eject" | "uneject" | "fence":
                    users = joined if kind != "fence" else [proxy for proxy in joined if lines[proxy]]
            for proxy in users:
                if proxy in lines:
                    lines[proxy] += 1
        self.waiting = max(0.0, self.waiting - (now - self.at) * self.per_s)
        self.at = now
        for proxy, count in lines.items():
            if count:
                self.waiting += count + self.head
                self.lines += count
                self.messages.setdefault(proxy, []).append(now)
        self.most = max(self.most, self.waiting)
        return self.waiting / self.per_s

    def messages_most(self, span: float) -> int:
        """The most messages that any proxy got within so many seconds."""
        return max(
            (
                sum(start <= at < start + span for at in times)
                for times in self.messages.values()
                for start in times
            ),
            default=0,
        )
