"""The simulated network: loss, repeats, delays that let messages overtake each other, and cuts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ambershift.coordinator.groupsim.chance import Chance
from ambershift.coordinator.groupsim.plan import CALM, MS, Weather
from ambershift.coordinator.replication import messages

if TYPE_CHECKING:
    from ambershift.coordinator.groupsim.process import Process
    from ambershift.coordinator.groupsim.world import World

LEAST = MS // 10


class Network:
    def __init__(self, world: World, chance: Chance) -> None:
        self.world, self.chance = world, chance
        self.weather: Weather = world.plan.weather
        self.cuts = dict[tuple[str, str], int]()  # How many faults cut this way.
        self.broken = dict[tuple[str, str], int]()  # Up to which message the link lost what was on the way.
        self.sent = 0

    def calm(self) -> None:
        self.weather = CALM
        self.cuts.clear()

    def cut(self, way: tuple[str, str], more: int) -> None:
        left = self.cuts.get(way, 0) + more
        self.cuts[way] = left
        if left <= 0:
            del self.cuts[way]

    def send(self, sender: Process, to: str, message: Any) -> None:
        """Each copy on its own way. The message is a value: nobody changes it on the way."""
        self.sent += 1
        way, weather, chance = (sender.name, to), self.weather, self.chance
        if way in self.cuts or (weather.lost and chance.hits(weather.lost)):
            self.world.count("lost")
            return
        if self.world.plan.coded:
            message = messages.decode(messages.encode(message))
        for _ in range(2 if weather.repeated and chance.hits(weather.repeated) else 1):
            delay = LEAST + chance.below(weather.way_ns)
            if weather.late and chance.hits(weather.late):
                delay += chance.below(weather.late_ns)
            self.world.at(
                self.world.now + delay,
                self.arrives,
                way,
                self.sent,
                sender.incarnation,
                sender.group(),
                message,
            )

    def arrives(self, way: tuple[str, str], number: int, incarnation: int, group: str, message: Any) -> None:
        if way in self.cuts or number <= self.broken.get(way, 0):
            return
        self.world.processes[way[1]].hear(way[0], incarnation, group, message)

    def breaks(self, one: str, other: str) -> None:
        """What is on the way between the two is lost, and both hear of it."""
        for first, second in ((one, other), (other, one)):
            self.broken[first, second] = self.sent
            self.world.processes[first].link_broke(second)
