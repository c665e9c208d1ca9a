"""All attempts for one request: retries, and a hedged request while a backend is silent, until an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httpcore

from ambershift.system.proxy.backend_attempt import Came, Try
from ambershift.system.proxy.backend_instance import Life
from ambershift.system.proxy.backend_view import Pool
from ambershift.system.proxy.http_exchange import Wire
from ambershift.system.proxy.retry_policy import Outcome, Stage, Tries
from ambershift.system.proxy.routing import Route
from ambershift.system.proxy.state import ProxyState
from ambershift.system.state_machine import NS_PER_SECOND

Make = Callable[[Wire, Life, int], httpcore.Request]
Racing = asyncio.Task[Came]

# Of a request's aim, what each step of priority gives up when all backends have queues.
YIELDED = 0.1


class Course:
    """`make` builds the request for a connection, a backend and the time left, ns."""

    def __init__(
        self, proxy: ProxyState, route: Route, pool: Pool, deadline: int, attempt: bytes, make: Make
    ) -> None:
        self.proxy, self.pool, self.attempt, self.make = proxy, pool, attempt, make
        self.tries = Tries(route.repeatable, route.most, deadline)
        self.budget = proxy.budget(pool.service)
        self.aim = min(deadline, proxy.steady() + int(route.target * (1 - YIELDED * min(route.priority, 5))))
        self.nobody = False  # No backend was left to try.
        self._tried = list[Life]()
        self._under_way = list[Try]()
        self._left = False

    async def run(self) -> Came | None:
        """What is to be passed on to the client; None where that is our own answer. Raises
        `UnsendableError`.
        """
        failure = None
        while (trying := self._begin()) is not None:
            if self.tries.repeatable and self.tries.most > 1:
                came = await self._beside(trying)
            else:
                came = await self._see(trying)
            if self._left or came.outcome is Outcome.GOOD:
                return came
            failure = came if came.reply is not None else None
        return failure

    def leave(self) -> None:
        """The client has left: end all that is under way, so that the backends may drop it."""
        self._left = True
        for trying in self._under_way:
            trying.leave()

    @property
    def left(self) -> bool:
        return self._left

    def _begin(self) -> Try | None:
        """The next attempt, if one is allowed and there is a backend for it."""
        proxy, tries = self.proxy, self.tries
        now = proxy.steady()
        if self._left or not tries.may(now):
            return None
        life = proxy.pick(self.pool, now, self._tried, self.aim - now)
        if life is None:
            self.nobody = True
            return None
        paid = tries.costs
        if paid and not self.budget.take(now):
            return None
        tries.begun()
        self._tried.append(life)
        trying = Try(proxy.connections, proxy.steady, life, life.region == proxy.settings.region, paid)
        self._under_way.append(trying)
        return trying

    async def _see(self, trying: Try) -> Came:
        try:
            came = await trying.run(self.tries, self.attempt, self.make)
        finally:
            self._under_way.remove(trying)
        if trying.paid and came.stage <= Stage.CONNECTED:
            self.budget.give_back(self.proxy.steady())
        self.tries.ended(came.stage, came.outcome)
        if came.stage is Stage.WHOLE:
            self.proxy.isolation.heard = self.proxy.steady()
        if came.outcome is Outcome.GOOD:
            self._under_way.append(trying)  # A large answer is still to come through it.
        return came

    async def _beside(self, first: Try) -> Came:
        """An attempt, and a hedged one elsewhere once its backend is silent to all requests; the first good
        answer counts. The other is not cancelled: its backend may be at work.
        """
        task: Racing = asyncio.ensure_future(self._see(first))
        await _either(task, first.life.patience() / NS_PER_SECOND)
        racing = {task}
        try:
            if not task.done() and first.life.quiet(first.started):
                second = self._begin()
                if second is not None:
                    racing.add(asyncio.ensure_future(self._see(second)))
            while True:
                done = {one for one in racing if one.done()} or (
                    await asyncio.wait(racing, return_when=asyncio.FIRST_COMPLETED)
                )[0]
                racing = racing - done
                came = [task.result() for task in done]
                came.sort(key=lambda one: one.outcome is Outcome.GOOD)
                if came[-1].outcome is Outcome.GOOD or not racing:
                    for spare in came[:-1]:
                        spare.by.close()
                    return came[-1]
        except BaseException:
            for one in racing:
                one.cancel()
            raise
        finally:
            for one in racing:
                self.proxy.let_run(one)


async def _either(task: Racing, seconds: float) -> None:
    """Until the task is done or the time is over; a fifth of what `asyncio.wait` takes, and each request
    comes by here.
    """
    loop = asyncio.get_running_loop()
    news: asyncio.Future[None] = loop.create_future()

    def tell(_: object = None) -> None:
        if not news.done():
            news.set_result(None)

    timer = loop.call_later(seconds, tell)
    task.add_done_callback(tell)
    try:
        await news
    except BaseException:
        task.cancel()
        raise
    finally:
        timer.cancel()
