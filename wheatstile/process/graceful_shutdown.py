"""Graceful shutdown of the process after SIGTERM: clients are migrated, and the remaining ones are rejected.

The platform sends SIGKILL some time after SIGTERM. The schedule is computed backwards from the earliest time
at which SIGKILL may arrive.
"""

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass

from wheatstile.net.client_listener import ClientListener
from wheatstile.net.graceful_shutdown import GracefulShutdown
from wheatstile.net.line_stream import LINGER_S

KILL_MARGIN_S = 0.7  # minimum time from the end of the longest client deadline to SIGKILL
MAX_COUNTED_DEADLINE_S = 3.0  # the schedule treats a longer deadline as this one
MIN_SERVE_S = 0.5  # minimum time of normal service, because new connections still arrive after SIGTERM
# Migrations start late and are spread over time: a migrated client may reconnect to another balancer, and
# during a rolling restart the balancer that was restarted before this one may not be ready yet.
MIGRATION_MARGIN_S = 0.7  # time between the last migration and the earliest SIGKILL
MIGRATION_SPREAD_S = 1.3  # duration of the migrations


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The durations of the two phases after SIGTERM: normal service, then migrations."""

    serve_s: float
    migrate_s: float

    @classmethod
    def for_deadline(cls, longest_deadline_s: float) -> "ShutdownSchedule":
        """Return the schedule that ends MIGRATION_MARGIN_S before the earliest SIGKILL."""
        earliest_kill_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
        migrations_end_s = earliest_kill_s - MIGRATION_MARGIN_S
        serve_s = max(MIN_SERVE_S, migrations_end_s - MIGRATION_SPREAD_S)
        return cls(serve_s, migrations_end_s - serve_s)


async def migrate_clients(client_listener: ClientListener, longest_deadline_s: float) -> None:
    """Serve normally, then migrate the clients one by one. New clients are accepted in both phases."""
    schedule = ShutdownSchedule.for_deadline(longest_deadline_s)
    await asyncio.sleep(schedule.serve_s)
    await GracefulShutdown(client_listener).migrate_sessions(schedule.migrate_s)


async def answer_pending_clients(client_listener: ClientListener, listener: socket.socket) -> None:
    """Answer the remaining clients and close the listening socket. No other task may accept from the socket.

    The timeout of LINGER_S starts with this call and not with SIGTERM, so a shutdown that is late still has
    the time to answer every client.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(LINGER_S):
            await GracefulShutdown(client_listener).close(listener)
