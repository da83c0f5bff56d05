"""Installs signal handlers that stay active until the process has ended.

An event loop removes its own handlers when it closes. A signal that arrives later would end the process by
its default action, and so change the exit status.
"""

import asyncio
import signal
from collections.abc import Callable, Iterable
from types import FrameType


def call_on_signal(number: signal.Signals, callback: Callable[[], object]) -> None:
    """Call `callback` in the running event loop each time the signal arrives."""
    loop = asyncio.get_running_loop()

    def handle(_number: int, _frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(callback)

    signal.signal(number, handle)


def ignore(numbers: Iterable[signal.Signals]) -> None:
    """Ignore these signals from now on. Call this before the event loop closes."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
