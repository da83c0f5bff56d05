"""Handles signals: SIGTERM and SIGINT shut down, SIGHUP reloads, SIGUSR1 logs the counters."""

import signal
from collections.abc import Callable

from wheatstile import signal_handlers

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block_reload_signal() -> None:
    """Block SIGHUP until its handler is installed.

    Without a handler, SIGHUP would end the process. A blocked SIGHUP stays pending until it is unblocked.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def install_handlers(
    on_shutdown: Callable[[], None], on_reload: Callable[[], None], on_report_counters: Callable[[], None]
) -> None:
    """Call these functions in the running event loop when the signals arrive.

    SIGHUP is unblocked at the end. If one is pending, it is delivered then.
    """
    signal_handlers.call_on_signal(signal.SIGTERM, on_shutdown)
    signal_handlers.call_on_signal(signal.SIGINT, on_shutdown)
    signal_handlers.call_on_signal(signal.SIGUSR1, on_report_counters)
    signal_handlers.call_on_signal(signal.SIGHUP, on_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def ignore_all() -> None:
    """Ignore all signals that `install_handlers` handles, until the process ends."""
    signal_handlers.ignore(HANDLED_SIGNALS)
