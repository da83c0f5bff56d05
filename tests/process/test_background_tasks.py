"""Background tasks: they run beside the block, survive their own faults, and end with the block."""

import asyncio

import pytest

from wheatstile.process.background_tasks import run_supervised, running_in_background


def test_a_component_that_fails_starts_again() -> None:
    starts: list[int] = []

    async def component() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise RuntimeError("a fault")
        await asyncio.Event().wait()

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await run_supervised("component", component)

    asyncio.run(main())
    assert starts == [0, 1, 2]


def test_all_have_ended_when_the_block_is_left() -> None:
    running: set[str] = set()

    async def component(name: str) -> None:
        running.add(name)
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.01)  # what takes a while to end is waited for
            running.discard(name)

    async def main() -> None:
        names = ("one", "two")
        with pytest.raises(RuntimeError, match="of the block"):
            async with running_in_background({name: lambda name=name: component(name) for name in names}):  # type: ignore[misc]
                await asyncio.sleep(0.05)
                assert running == {"one", "two"}
                raise RuntimeError("of the block")
        assert not running

    asyncio.run(main())
