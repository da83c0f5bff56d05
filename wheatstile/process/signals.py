"""The signals of the process: SIGTERM and SIGINT shut down, SIGHUP reloads, SIGUSR1 reports the counters."""

import asyncio
import signal
from collections.abc import Callable


def block_reload_signal() -> None:
    """Block SIGHUP until its handler is installed.

    An unhandled SIGHUP would end the process. While blocked it stays pending, and is delivered later.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def install_handlers(
    on_shutdown: Callable[[], None], on_reload: Callable[[], None], on_report_counters: Callable[[], None]
) -> None:
    """Install the handlers in the running event loop, then unblock SIGHUP, which delivers a pending one."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, on_shutdown)
    loop.add_signal_handler(signal.SIGINT, on_shutdown)
    loop.add_signal_handler(signal.SIGUSR1, on_report_counters)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
