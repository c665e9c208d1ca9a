"""Coroutine tests: `async def test_...` runs in the loop of the fixture `runner`; a folder may replace it."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Iterator

import pytest


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """The loop of this test; tasks that the test leaves are cancelled after it."""
    with asyncio.Runner() as opened:
        yield opened


def pytest_itemcollected(item: pytest.Item) -> None:
    if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.function):
        item.fixturenames.append("runner")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    if not inspect.iscoroutinefunction(pyfuncitem.function):
        return None
    names = inspect.signature(pyfuncitem.function).parameters
    pyfuncitem.funcargs["runner"].run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True
