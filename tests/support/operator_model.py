"""The model of the policy tests with the admin controller in front of the module, in virtual time."""

from __future__ import annotations

import random

from ambershift import interface as api
from ambershift.coordinator.admin.controller import AdminController
from ambershift.coordinator.admin.types import Accepted, Change, Refused
from tests.support.policy_model import PolicyModel, S

RELAYED = (api.SetWeight, api.ClearTable, api.Withdraw, api.Level, api.Bind, api.Mark)


class OperatedModel(PolicyModel):
    """The policy model with operators' commands.

    Attributes:
        away: Whether the relay's answers are held back, as by a cut; the model still applies orders.
        true: The entries of the server list, before overrides.
        ordered: All orders of the module.
    """

    def __init__(self, terms: api.PolicySettings, servers: list[api.Entry], now: int = 100 * S) -> None:
        self.controller, self.reply, self.away = AdminController(terms.cold, terms.report_period), 0, False
        self.true: dict[int, api.Entry] = {}
        self.ordered: list[api.Order] = []
        super().__init__(terms, servers, now)

    def tell(self, *events: api.Event) -> list[api.Order]:
        seen = list[api.Event]()
        for event in events:
            if isinstance(event, api.Listed):
                if event.whole:
                    self.true = {i: one._replace(phase=api.Phase.GONE) for i, one in self.true.items()}
                self.true.update({one.server: one for one in event.entries})
                event = self.controller.listed(self.now, event)
            seen.append(event)
        due = self.controller.due(self.now)
        if due is not None:
            seen.append(self.controller.listed(self.now, due))
        self.controller.stepped(self.now, seen)
        orders = super().tell(*seen)
        self.ordered += orders
        relayed = [order for order in orders if isinstance(order, RELAYED)]
        if relayed:
            self.reply += 1
            self.controller.ordered(self.now, self.reply, relayed)
        if not self.away:
            self.controller.settled(self.reply)
        return orders

    def operate(self, *changes: Change, who: str = "op") -> Accepted | Refused:
        return self.controller.command(self.now, who, "a command", changes)

    def full_weight(self, server: int) -> float:
        return self.true[server].weight

    def ready(self) -> set[int]:
        """Return the servers ready by the list: each proxy must have a server while there is one."""
        return {i for i, one in self.true.items() if one.phase == api.Phase.READY and one.weight > 0}


def some_changes(rng: random.Random, count: int) -> list[Change]:
    """Return one to three random changes of servers below `count`."""
    from ambershift.coordinator.admin.types import Health, State, Weight

    makers = [
        lambda s: Change(s, state=rng.choice(list(State))),
        lambda s: Change(s, state=State.READY),
        lambda s: Change(s, health=rng.choice(list(Health))),
        lambda s: Change(s, weight=Weight(rng.choice([0.0, 0.5, 1.0]), True)),
        lambda s: Change(s, weight=Weight(rng.choice([0.0, 1.0, 3.0, 256.0]), False)),
        lambda s: Change(s, as_listed=True),
    ]
    return [rng.choice(makers)(rng.randrange(count)) for _ in range(rng.randint(1, 3))]
