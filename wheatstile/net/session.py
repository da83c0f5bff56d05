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
"""What the decision module decides over a session that is not established."""


class MigrationReason(StrEnum):
    """Why a client is told to connect again."""

    UPSTREAM_UNRESPONSIVE = "upstream_unresponsive"  # its server leaves its lines without answer
    SHUTDOWN = "shutdown"  # this balancer ends
    REBALANCE = "rebalance"  # the decision module wants it at another server


class Session:
    """What the setup and the relay of one session share. Its client connection owns it."""

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
        self.migration = migration  # done once the client is to be told to connect again
        self.attempt: UpstreamAttempt | None = None
        self.attempt_number = 0
        self.established = False  # from here on the client's lines are passed on
        self.unsent_answer = b""  # the part of the server's first answer that the client has not taken yet
        self.actions: asyncio.Queue[SetupAction] = asyncio.Queue()
        self.answer_decided = asyncio.Event()  # the module has decided the last time, maybe during an attempt
        self.client_reader: asyncio.Task[None] | None = None  # ends only with the client's side

    def decide(self, action: SetupAction | api.Migrate) -> None:
        """Take what the decision module decided; it is carried out elsewhere, later."""
        if isinstance(action, api.Migrate):
            if not self.migration.done():
                self.migration.set_result(MigrationReason.REBALANCE)
            return
        self.actions.put_nowait(action)
        if not isinstance(action, api.StartAttempt):
            self.answer_decided.set()

    @property
    def can_migrate(self) -> bool:
        """Whether the session is established and not about to be migrated."""
        return self.established and not self.migration.done()

    def unanswered_us(self, now_us: int) -> int:
        """For how long a line of the client's has waited for an answer; 0: none waits."""
        if not self.established or self.attempt is None:
            return 0
        since_us = self.attempt.upstream.waiting_since_us.get(self.id, 0)
        return now_us - since_us if since_us else 0

    async def unless_client_ends(self, work: Coroutine[object, object, ResultT]) -> ResultT:
        """Return the work's result, unless the client's side ends first: then stop the work and raise why."""
        assert self.client_reader
        task = asyncio.create_task(work)
        try:
            await asyncio.wait([task, self.client_reader], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                self.client_reader.result()  # raises
            return task.result()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait([task])

    async def stop_reading(self) -> None:
        """Stop reading from the client, and wait until that is so."""
        if self.client_reader:
            self.client_reader.cancel()
            await asyncio.wait([self.client_reader])

    def close_attempt(self, reset: bool = False) -> None:
        """Close the connection to the server, as a reset if the client's side ended in one."""
        if self.attempt:
            self.attempt.upstream.waiting_since_us.pop(self.id, None)
            self.attempt.close(reset)
            self.attempt = None


async def wait_for_either(first: asyncio.Future[ResultT], second: asyncio.Future[OtherT]) -> None:
    """Wait until one of two is done; neither is stopped."""
    futures: list[asyncio.Future[ResultT] | asyncio.Future[OtherT]] = [first, second]
    await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
