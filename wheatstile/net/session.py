"""State of a session: one client's request and, once established, its connection."""

import asyncio
from collections.abc import Coroutine
from enum import StrEnum
from typing import TypeVar

from wheatstile import interface as api
from wheatstile.net.client_stream import ClientStream
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.upstream_attempt import UpstreamAttempt

ResultT = TypeVar("ResultT")
OtherT = TypeVar("OtherT")

SetupAction = api.StartAttempt | api.Reject | api.Fail
"""An action of the decision module for a session that is not yet established."""


class MigrationReason(StrEnum):
    """Reason for telling a client to reconnect. The values are part of counter names."""

    UPSTREAM_UNRESPONSIVE = "upstream_unresponsive"  # the server does not answer the client's lines
    SHUTDOWN = "shutdown"  # this balancer shuts down
    REBALANCE = "rebalance"  # the decision module returned Migrate


def request_migration(migration: asyncio.Future[MigrationReason], reason: MigrationReason) -> None:
    """Request a client's migration. Only the first request takes effect."""
    if not migration.done():
        migration.set_result(reason)


class Session:
    """State shared by the setup and the relay of one session. Owned by the client connection.

    Attributes:
        migration: completed with the reason when the client must be told to reconnect.
        attempt: the current attempt, or the established connection to the server.
        established: whether the server has accepted the session; the client's lines are relayed from then on.
        unsent_answer: the part of the server's first answer that has not been sent to the client yet.
        actions: actions of the decision module that have not been carried out yet.
        final_answer_decided: set when the decision module decides the final answer, even during an attempt.
        client_reader: the task that reads from the client. It ends only on a disconnect or a protocol error.
    """

    def __init__(
        self,
        request: OpenRequest,
        client: ClientStream,
        decision_loop: DecisionLoop,
        migration: asyncio.Future[MigrationReason],
    ) -> None:
        self.id = request.id
        self.request = request
        self.client = client
        self.decision_loop = decision_loop
        self.migration = migration
        self.attempt: UpstreamAttempt | None = None
        self.attempt_number = 0
        self.established = False
        self.unsent_answer = b""
        self.actions: asyncio.Queue[SetupAction] = asyncio.Queue()
        self.final_answer_decided = asyncio.Event()
        self.client_reader: asyncio.Task[None] | None = None

    def on_action(self, action: SetupAction | api.Migrate) -> None:
        """Queue an action of the decision module for the setup or the relay."""
        if isinstance(action, api.Migrate):
            request_migration(self.migration, MigrationReason.REBALANCE)
            return
        self.actions.put_nowait(action)
        if not isinstance(action, api.StartAttempt):
            self.final_answer_decided.set()

    @property
    def can_migrate(self) -> bool:
        """True if the session is established and no migration has been requested."""
        return self.established and not self.migration.done()

    def unanswered_us(self, now_us: int) -> int:
        """Return how long a line of the client has been unanswered, in microseconds, or 0 if none is."""
        if not self.established or self.attempt is None:
            return 0
        since_us = self.attempt.upstream.unanswered_since_us.get(self.id, 0)
        return now_us - since_us if since_us else 0

    async def run_while_client_connected(self, work: Coroutine[object, object, ResultT]) -> ResultT:
        """Run `work` and return its result. Cancel it if the client disconnects or violates the protocol.

        In that case, raises the error of `client_reader` (ClientDisconnectedError or ProtocolError).
        """
        assert self.client_reader
        task = asyncio.create_task(work)
        try:
            await asyncio.wait([task, self.client_reader], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                self.client_reader.result()  # raises the reader's error
            return task.result()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait([task])

    async def stop_reading(self) -> None:
        """Cancel `client_reader` and wait until it has ended."""
        if self.client_reader:
            self.client_reader.cancel()
            await asyncio.wait([self.client_reader])

    def close_attempt(self, reset: bool = False) -> None:
        """Close the connection to the server, with a TCP reset if `reset` is true."""
        if self.attempt:
            self.attempt.upstream.unanswered_since_us.pop(self.id, None)
            self.attempt.close(reset)
            self.attempt = None


async def wait_for_either(first: asyncio.Future[ResultT], second: asyncio.Future[OtherT]) -> None:
    """Wait until at least one of two futures is done. Cancels neither."""
    futures: list[asyncio.Future[ResultT] | asyncio.Future[OtherT]] = [first, second]
    await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
