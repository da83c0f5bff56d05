"""Tasks that run beside the main one, restarted when they fail and cancelled when their scope ends."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager

import structlog

log = structlog.get_logger()

RESTART_DELAY_S = 0.05

Component = Callable[[], Awaitable[None]]


async def run_supervised(name: str, component: Component) -> None:
    """Run a component until cancelled; an exception is logged, and the component starts again."""
    while True:
        try:
            await component()
        except Exception:
            log.exception("component_failed", component=name)
        await asyncio.sleep(RESTART_DELAY_S)


@asynccontextmanager
async def running_in_background(components: Mapping[str, Component]) -> AsyncIterator[None]:
    """Run these components, by name, while the block is entered. At its end all have been cancelled."""
    tasks = [asyncio.create_task(run_supervised(name, component)) for name, component in components.items()]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
