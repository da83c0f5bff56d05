"""Runs a balancer with a planted fault: `python benchmarks/soak/planted_faults.py NAME`.

The soak test has to find each of these faults.
"""

import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2]))

from wheatstile import interface as api
from wheatstile.config import endpoints
from wheatstile.net.client_connection import ClientConnection
from wheatstile.net.session import MigrationReason
from wheatstile.net.session_setup import SessionSetup
from wheatstile.process.main import main

UNMIGRATED_ID_DIGITS = "01234567"  # last digits of the request ids whose sessions are not migrated


def ignore_drain() -> None:
    """Treat draining servers as ready."""
    endpoints.STATES["draining"] = api.EndpointState.READY


def answer_twice() -> None:
    """Send the answer to each established session twice."""
    send_answer = SessionSetup._send_answer  # noqa: SLF001

    def send_twice(setup: SessionSetup, line: bytes) -> None:
        send_answer(setup, line + line)

    setattr(SessionSetup, "_send_answer", send_twice)  # noqa: B010  # mypy rejects the assignment


def skip_migrations() -> None:
    """Skip the migration of half of the sessions during a shutdown."""
    migrate = ClientConnection.migrate

    def migrate_some(connection: ClientConnection, reason: MigrationReason) -> None:
        is_skipped = connection.session and connection.session.id[-1] in UNMIGRATED_ID_DIGITS
        if not (is_skipped and reason is MigrationReason.SHUTDOWN):
            migrate(connection, reason)

    setattr(ClientConnection, "migrate", migrate_some)  # noqa: B010  # mypy rejects the assignment


PLANTED_FAULTS: dict[str, Callable[[], None]] = {
    "drain-ignored": ignore_drain,
    "answered-twice": answer_twice,
    "client-not-moved": skip_migrations,
}

if __name__ == "__main__":
    PLANTED_FAULTS[sys.argv[1]]()
    sys.exit(main())
