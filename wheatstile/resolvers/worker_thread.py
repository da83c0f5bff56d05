"""Provides a thread for calls that may block."""

import asyncio
import functools
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class WorkerThread:
    """Runs calls one after another in a thread, so that they do not block the event loop."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._executor: ThreadPoolExecutor | None = None

    @contextmanager
    def running(self, last_call: Callable[[], None]) -> Iterator[None]:
        """Run the thread until the block ends.

        Then `last_call` runs in the thread, after the current call if there is one. The end of the block does
        not wait for either call.
        """
        executor = ThreadPoolExecutor(1, self._name)
        self._executor = executor
        try:
            yield
        finally:
            self._executor = None
            executor.submit(last_call)
            executor.shutdown(wait=False)

    async def call(
        self, function: Callable[Parameters, Result], *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> Result:
        """Call the function in the thread, and return its result. Exceptions of the function are raised."""
        if self._executor is None:
            raise RuntimeError(f'the thread "{self._name}" is not running')
        call = functools.partial(function, *args, **kwargs)
        return await asyncio.get_running_loop().run_in_executor(self._executor, call)
