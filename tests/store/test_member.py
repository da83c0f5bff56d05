"""`Member`: several members in one process, between which the test delivers the messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import ExitStack, closing
from pathlib import Path

import pytest

from wheatstile.store.member import Member
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.raft.messages import Message, Role

STEP_S = 0.01
TIMEOUT_S = 10


class ConnectedMembers:
    """Member `a`, the only voter, and member `b`, which the test adds. Messages can be delayed."""

    def __init__(self, directory: Path, is_delayed: Callable[[Message], bool]) -> None:
        self._is_delayed = is_delayed
        self._delayed: list[Message] = []
        self.members = {
            name: Member(MemberConfig(name, frozenset(voters), directory / name), self._send)
            for name, voters in (("a", "a"), ("b", ""))
        }

    def _send(self, message: Message) -> None:
        if self._is_delayed(message):
            self._delayed.append(message)
        else:
            asyncio.get_running_loop().call_soon(self.members[message.recipient].on_message, message)

    def deliver_delayed(self) -> None:
        """Deliver the delayed messages, and delay no further messages."""
        self._is_delayed = lambda _message: False
        for message in self._delayed:
            self._send(message)

    async def wait_until_leader(self, name: str) -> Member:
        """Wait until a member is the leader and has committed an entry, and return it."""
        member = self.members[name]
        while not (member.node.role is Role.LEADER and member.node.state.has_committed_in_term):
            await asyncio.sleep(STEP_S)
        return member


def has_final_configuration(message: Message) -> bool:
    """Return whether a message has an entry with a configuration that contains only `b`."""
    configurations = [entry.configuration for entry in message.entries if entry.configuration]
    return any(not each.outgoing_voters and each.members == frozenset("b") for each in configurations)


def test_a_membership_change_returns_only_after_its_final_configuration_is_committed(tmp_path: Path) -> None:
    """Guards against the loss of the store if a removed leader is stopped as soon as the change returns."""

    async def scenario() -> None:
        cluster = ConnectedMembers(tmp_path, has_final_configuration)
        with ExitStack() as stack:
            running = [asyncio.create_task(member.run()) for member in cluster.members.values()]
            for member in cluster.members.values():
                stack.enter_context(closing(member))
            leader = await cluster.wait_until_leader("a")
            await leader.change_members(["a"], ["b"])
            change = asyncio.create_task(leader.change_members(["b"], []))
            while leader.node.log.configuration.members != {"b"}:
                await asyncio.sleep(STEP_S)
            await asyncio.wait([change], timeout=20 * STEP_S)
            assert not change.done(), (
                "the change returned while only the removed leader had the final configuration"
            )
            cluster.deliver_delayed()
            await change
            assert (await cluster.wait_until_leader("b")).node.log.configuration.voters == {"b"}
            for task in running:
                task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_an_unexpected_error_while_entries_are_applied_ends_the_member(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that goes on without the entries that it could not apply."""

    def fail(*_arguments: object) -> None:
        raise ValueError("the command cannot be applied")

    async def scenario() -> None:
        with closing(Member(MemberConfig("a", frozenset("a"), tmp_path), fail)) as member:
            monkeypatch.setattr(member.applied, "apply", fail)
            await member.run()

    with pytest.raises(ValueError, match="cannot be applied"):
        asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
