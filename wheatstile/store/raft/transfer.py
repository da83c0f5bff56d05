"""Leadership transfer (§3.10): bring one voter's log up to date, then have it campaign at once."""

from __future__ import annotations

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError
from wheatstile.store.raft.messages import MessageKind, Role
from wheatstile.store.raft.state import RaftState


def start(state: RaftState, target: str) -> None:
    """Begin to hand leadership to `target`; the leader takes no proposals for up to an election time-out.

    Raises `NotLeaderError`, or `MembershipChangeRejectedError` where `target` is not another voter.
    """
    if state.role is not Role.LEADER:
        raise NotLeaderError(state.leader)
    if target == state.name or target not in state.configuration.voters:
        raise MembershipChangeRejectedError(f"{target} is not another voter")
    state.leadership.transfer_target = target
    state.leadership.transfer_ticks_remaining = state.timing.election_ticks
    send_timeout_now_if_caught_up(state)


def send_timeout_now_if_caught_up(state: RaftState) -> None:
    """Have the target campaign, if its log has become as long as the leader's."""
    target = state.leadership.transfer_target
    if target and state.match_index(target) == state.log.last_index:
        state.send(MessageKind.TIMEOUT_NOW, target)


def tick(state: RaftState) -> None:
    """Give up a transfer whose target has not taken over within an election time-out."""
    leadership = state.leadership
    if leadership.transfer_target is None:
        return
    leadership.transfer_ticks_remaining -= 1
    if leadership.transfer_ticks_remaining <= 0:
        leadership.transfer_target = None
