"""Supervised background tasks, which are restarted after a failure and cancelled when their context ends."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager

import structlog

log = structlog.get_logger()

RESTART_DELAY_S = 0.05

Component = Callable[[], Awaitable[None]]
"""Creates the coroutine of a background task. It is called again for each restart."""


async def run_supervised(name: str, component: Component) -> None:
    """Run a component until cancelled, and restart it RESTART_DELAY_S after it has failed or returned.

    Its exceptions are logged.
    """
    while True:
        try:
            await component()
        except Exception:
            log.exception("component_failed", component=name)
        await asyncio.sleep(RESTART_DELAY_S)


@asynccontextmanager
async def running_in_background(components: Mapping[str, Component]) -> AsyncIterator[None]:
    """Run the named components for the duration of the context.

    The exit from the context cancels all of them, and waits until they have ended.
    """
    tasks = [asyncio.create_task(run_supervised(name, component)) for name, component in components.items()]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
