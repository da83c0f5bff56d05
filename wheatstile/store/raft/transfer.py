"""Leadership transfer (§3.10): the leader completes a voter's log, then tells the voter to campaign."""

from __future__ import annotations

from wheatstile.store.errors import MembershipChangeRejectedError
from wheatstile.store.raft.messages import MessageKind
from wheatstile.store.raft.state import RaftState


def start(state: RaftState, target: str) -> None:
    """Start a transfer to `target`.

    The leader rejects proposals until the transfer ends, which takes at most an election timeout.
    Raises `NotLeaderError`, and `MembershipChangeRejectedError` if `target` is this node or not a voter.
    """
    state.require_leader()
    if target == state.name or target not in state.configuration.voters:
        raise MembershipChangeRejectedError(
            f"leadership can only be transferred to another voter, not to {target}"
        )
    state.leadership.transfer_target = target
    state.leadership.transfer_ticks_remaining = state.timing.election_ticks
    send_timeout_now_if_caught_up(state)


def send_timeout_now_if_caught_up(state: RaftState) -> None:
    """Tell the target of a transfer in progress to campaign, if its log is up to date."""
    target = state.leadership.transfer_target
    if target and state.match_index(target) == state.log.last_index:
        state.send(MessageKind.TIMEOUT_NOW, target)


def tick(state: RaftState) -> None:
    """Cancel a transfer whose target has not become the leader within an election timeout."""
    leadership = state.leadership
    if leadership.transfer_target is None:
        return
    leadership.transfer_ticks_remaining -= 1
    if leadership.transfer_ticks_remaining <= 0:
        leadership.transfer_target = None
