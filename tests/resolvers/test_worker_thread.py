"""Tests for the thread for calls that may block."""

import asyncio
import threading

import pytest

from wheatstile.resolvers.worker_thread import WorkerThread

TIMEOUT_S = 10.0


def fail() -> None:
    raise OSError("disk full")


def test_call_runs_in_the_named_thread_and_returns_its_result() -> None:
    worker = WorkerThread("reader")

    async def thread_name() -> str:
        with worker.running(last_call=lambda: None):
            thread = await worker.call(threading.current_thread)
            return thread.name

    assert asyncio.run(thread_name()).startswith("reader")


def test_call_raises_the_exception_of_the_function() -> None:
    worker = WorkerThread("reader")

    async def check() -> None:
        with worker.running(last_call=lambda: None), pytest.raises(OSError, match="disk full"):
            await worker.call(fail)

    asyncio.run(check())


def test_last_call_runs_after_the_block_and_later_calls_are_rejected() -> None:
    worker = WorkerThread("reader")
    last_call_done = threading.Event()

    async def check() -> None:
        with worker.running(last_call=last_call_done.set):
            await worker.call(lambda: None)
            assert not last_call_done.is_set()
        assert last_call_done.wait(TIMEOUT_S)
        with pytest.raises(RuntimeError, match='"reader" is not running'):
            await worker.call(lambda: None)

    asyncio.run(check())
