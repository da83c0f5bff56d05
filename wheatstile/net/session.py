"""A session: one client's request, and the connection that it becomes."""

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
"""An action of the decision module for a session that is not established."""


class MigrationReason(StrEnum):
    """Why a client is told to connect again. The values are part of counter names."""

    UPSTREAM_UNRESPONSIVE = "upstream_unresponsive"  # its server does not answer its lines
    SHUTDOWN = "shutdown"  # this balancer shuts down
    REBALANCE = "rebalance"  # the decision module returned Migrate


def request_migration(migration: asyncio.Future[MigrationReason], reason: MigrationReason) -> None:
    """Request a client's migration. The first reason counts; later requests are ignored."""
    if not migration.done():
        migration.set_result(reason)


class Session:
    """State that the setup and the relay of one session share. The client's connection owns it.

    Attributes:
        migration: done once the client is to be told to connect again.
        attempt: the current attempt at a server, or the connection that it became.
        established: whether the client has the server's answer; its lines are relayed from then on.
        unsent_answer: the part of the server's first answer that is not sent to the client yet.
        actions: the actions of the decision module that are still to be carried out.
        answer_decided: set once the decision module has decided the final answer, even during an attempt.
        client_reader: the task that reads from the client; it ends only when the client's side does.
    """

    def __init__(
        self,
        request: OpenRequest,
        client: ClientStream,
        decisions: DecisionLoop,
        migration: asyncio.Future[MigrationReason],
    ) -> None:
        self.id = request.id
        self.request = request
        self.client = client
        self.decisions = decisions
        self.migration = migration
        self.attempt: UpstreamAttempt | None = None
        self.attempt_number = 0
        self.established = False
        self.unsent_answer = b""
        self.actions: asyncio.Queue[SetupAction] = asyncio.Queue()
        self.answer_decided = asyncio.Event()
        self.client_reader: asyncio.Task[None] | None = None

    def decide(self, action: SetupAction | api.Migrate) -> None:
        """Accept an action of the decision module; the setup or the relay carries it out later."""
        if isinstance(action, api.Migrate):
            request_migration(self.migration, MigrationReason.REBALANCE)
            return
        self.actions.put_nowait(action)
        if not isinstance(action, api.StartAttempt):
            self.answer_decided.set()

    @property
    def can_migrate(self) -> bool:
        """Whether the session is established and its migration is not requested yet."""
        return self.established and not self.migration.done()

    def unanswered_us(self, now_us: int) -> int:
        """Return how many microseconds a line of the client has waited for an answer; 0: no line waits."""
        if not self.established or self.attempt is None:
            return 0
        since_us = self.attempt.upstream.waiting_since_us.get(self.id, 0)
        return now_us - since_us if since_us else 0

    async def unless_client_ends(self, work: Coroutine[object, object, ResultT]) -> ResultT:
        """Run `work` and return its result. If the client's side ends first, cancel `work` instead.

        Raises the error with which `client_reader` ended (ClientDisconnectedError or ProtocolError).
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
        """Cancel the client's reader and wait for its end."""
        if self.client_reader:
            self.client_reader.cancel()
            await asyncio.wait([self.client_reader])

    def close_attempt(self, reset: bool = False) -> None:
        """Close the connection to the server, with a TCP reset if `reset` is true."""
        if self.attempt:
            self.attempt.upstream.waiting_since_us.pop(self.id, None)
            self.attempt.close(reset)
            self.attempt = None


async def wait_for_either(first: asyncio.Future[ResultT], second: asyncio.Future[OtherT]) -> None:
    """Wait until one of two futures is done. Neither is cancelled."""
    futures: list[asyncio.Future[ResultT] | asyncio.Future[OtherT]] = [first, second]
    await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
