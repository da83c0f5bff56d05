"""The signals that control the process: SIGTERM and SIGINT, SIGHUP, SIGUSR1."""

import asyncio
import signal
from collections.abc import Callable


def block_reload_signal() -> None:
    """Have the kernel hold SIGHUP back until its handler is installed.

    Unhandled it would end the process; blocked, it stays pending and is delivered later.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def install_handlers(
    on_shutdown: Callable[[], None], on_reload: Callable[[], None], on_report_counters: Callable[[], None]
) -> None:
    """Have the running event loop call these, and deliver a SIGHUP that is pending."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, on_shutdown)
    loop.add_signal_handler(signal.SIGINT, on_shutdown)
    loop.add_signal_handler(signal.SIGUSR1, on_report_counters)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
