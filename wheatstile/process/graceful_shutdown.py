"""Graceful shutdown: after SIGTERM, clients are migrated while there is time, and the rest are rejected.

The platform sends SIGKILL a while after SIGTERM, so the schedule counts backwards from the earliest moment.
"""

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass

from wheatstile.net.client_listener import ClientListener
from wheatstile.net.graceful_shutdown import GracefulShutdown
from wheatstile.net.line_stream import LINGER_S

KILL_MARGIN_S = 0.7  # beside the longest deadline, from SIGTERM to SIGKILL at the earliest
MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline is taken as this one
NEW_CONNECTIONS_S = 0.5  # in which new connections still come after SIGTERM
# Clients are migrated late and over a while: until then they are served here, and where balancers are
# restarted in turn, the one before this may still be down.
MIGRATION_MARGIN_S = 0.7  # before SIGKILL, by which the last client has been migrated
MIGRATION_SPREAD_S = 1.3  # over which the migrations are spread


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """How long clients are served after SIGTERM as before, and over how long they are migrated then."""

    serve_s: float
    migrate_s: float

    @classmethod
    def for_deadline(cls, longest_deadline_s: float) -> "ShutdownSchedule":
        """Make the schedule that ends MIGRATION_MARGIN_S before the earliest SIGKILL."""
        killed_after_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
        serve_s = max(NEW_CONNECTIONS_S, killed_after_s - MIGRATION_MARGIN_S - MIGRATION_SPREAD_S)
        return cls(serve_s, killed_after_s - MIGRATION_MARGIN_S - serve_s)


async def migrate_clients(client_listener: ClientListener, longest_deadline_s: float) -> None:
    """Serve on for a while, then migrate the clients one by one; new ones are still accepted."""
    schedule = ShutdownSchedule.for_deadline(longest_deadline_s)
    await asyncio.sleep(schedule.serve_s)
    await GracefulShutdown(client_listener).migrate_sessions(schedule.migrate_s)


async def answer_pending_clients(client_listener: ClientListener, listener: socket.socket) -> None:
    """Answer the clients that are left, and close the listening socket; nobody may accept from it meanwhile.

    It has a time of its own, so that all get an answer however late it is.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(LINGER_S):
            await GracefulShutdown(client_listener).close(listener)
