"""Signal handlers that stay in force until the process has ended.

An event loop's own handlers are removed when the loop closes. A signal that came then would end the process
with its default action, and so with another exit status.
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
    """Ignore these signals from now on. Call it before the event loop closes."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
