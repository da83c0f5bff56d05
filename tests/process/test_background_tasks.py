"""Background tasks run during their context, are restarted after a failure, and end with their context."""

import asyncio
from functools import partial

import pytest

from wheatstile.process.background_tasks import run_supervised, running_in_background


def test_failed_component_is_restarted() -> None:
    starts: list[int] = []

    async def component() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise RuntimeError("the component failed")
        await asyncio.Event().wait()

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await run_supervised("component", component)

    asyncio.run(main())
    assert starts == [0, 1, 2]


def test_components_have_ended_when_the_context_exits() -> None:
    running: set[str] = set()

    async def component(name: str) -> None:
        running.add(name)
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.01)  # the exit from the context must wait for a slow component
            running.discard(name)

    async def main() -> None:
        names = ("one", "two")
        with pytest.raises(RuntimeError, match="raised inside the context"):
            async with running_in_background({name: partial(component, name) for name in names}):
                await asyncio.sleep(0.05)
                assert running == {"one", "two"}
                raise RuntimeError("raised inside the context")
        assert not running

    asyncio.run(main())
