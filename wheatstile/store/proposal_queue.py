"""Queues submitted commands, proposes them in groups (group commit), and returns their results."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.errors import NotLeaderError, OutcomeUnknownError
from wheatstile.store.raft.messages import Entry
from wheatstile.store.raft.node import RaftNode

MAX_GROUP_COMMANDS = 512
"""Queue length at which the queue is proposed even if the previous group is not committed."""
MAX_GROUP_WAIT_S = 0.005
"""Waiting time after which the queue is proposed even if the previous group is not committed."""


@dataclass(frozen=True, slots=True)
class QueuedCommand:
    """A command that is not in the log yet. `queued_at_s` is a time on the event loop's clock."""

    queued_at_s: float
    command: Command
    result: asyncio.Future[CommandResult]


@dataclass(frozen=True, slots=True)
class ProposedCommand:
    """A command that this member proposed as the leader of `term`."""

    term: int
    result: asyncio.Future[CommandResult]


class ProposalQueue:
    """Proposes commands in groups, and resolves their futures when their entries are applied.

    `clock_ms` returns the time of the store's clock, which a command receives as its timestamp when it is
    proposed.
    """

    def __init__(self, node: RaftNode, clock_ms: Callable[[], int]) -> None:
        self._node = node
        self._clock_ms = clock_ms
        self._loop = asyncio.get_running_loop()
        self._queue: list[QueuedCommand] = []
        self._proposed: dict[int, ProposedCommand] = {}  # keyed by log index
        self._last_proposed_index = 0

    def submit(self, command: Command) -> asyncio.Future[CommandResult]:
        """Queue `command` and return the future of its result.

        The future fails with `NotLeaderError` if the command was not applied, and with `OutcomeUnknownError`
        if the command may have been applied.
        """
        result: asyncio.Future[CommandResult] = self._loop.create_future()
        self._queue.append(QueuedCommand(self._loop.time(), command, result))
        return result

    def propose_due(self) -> None:
        """Propose all queued commands, unless their group should wait for further commands.

        A group is proposed when the previous group is committed, so that more commands share one fsync under
        load. It is proposed earlier if it has `MAX_GROUP_COMMANDS` commands or has waited for
        `MAX_GROUP_WAIT_S` (and up to one tick more).
        """
        if not self._queue or self._is_group_open():
            return
        queue = self._queue
        self._queue = []
        for queued in queue:
            if not queued.result.done():  # not cancelled by its client
                self._propose(queued)

    def _is_group_open(self) -> bool:
        """Return whether the queue should wait for further commands."""
        return (
            self._node.log.commit_index < self._last_proposed_index
            and len(self._queue) < MAX_GROUP_COMMANDS
            and self._loop.time() - self._queue[0].queued_at_s < MAX_GROUP_WAIT_S
        )

    def _propose(self, queued: QueuedCommand) -> None:
        timestamped = msgspec.structs.replace(queued.command, clock_ms=self._clock_ms())
        try:
            index = self._node.propose(msgspec.msgpack.encode(timestamped))
        except NotLeaderError as error:
            queued.result.set_exception(error)
            return
        self._last_proposed_index = index
        self._proposed[index] = ProposedCommand(self._node.term, queued.result)

    def on_applied(self, entry: Entry, result: CommandResult) -> None:
        """Resolve the future of the command that was proposed at the entry's index, if there is one."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None or proposed.result.done():
            return
        if proposed.term == entry.term:
            proposed.result.set_result(result)
        else:  # another leader has replaced the entry
            proposed.result.set_exception(NotLeaderError(self._node.leader))

    def on_snapshot_installed(self, index: int) -> None:
        """Fail the commands up to `index`, whose results are unknown because a snapshot covers them."""
        covered = [proposed_index for proposed_index in self._proposed if proposed_index <= index]
        for proposed_index in covered:
            result = self._proposed.pop(proposed_index).result
            if not result.done():
                result.set_exception(
                    OutcomeUnknownError("the entry of the command is covered by an installed snapshot")
                )
