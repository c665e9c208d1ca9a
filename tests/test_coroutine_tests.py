"""Coroutine tests are run to their end: a failing assertion in one fails it."""

from __future__ import annotations

import asyncio

import pytest


@pytest.mark.xfail(strict=True, raises=ZeroDivisionError, reason="the error has to arrive")
async def test_error_after_a_pause_fails_a_coroutine_test() -> None:
    await asyncio.sleep(0)
    raise ZeroDivisionError


async def test_coroutine_test_runs_in_the_loop_of_its_runner(runner: asyncio.Runner) -> None:
    assert asyncio.get_running_loop() is runner.get_loop()
