"""The rules of membership changes by joint consensus (§4.3).

A change of voters appends two configurations: a joint one, in which decisions need a majority of the outgoing
and of the new voters, and, once that is committed, the new one alone. Learners change in one step.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError
from wheatstile.store.raft.messages import Configuration, Role
from wheatstile.store.raft.state import RaftState


def plan_change(state: RaftState, voters: Iterable[str], learners: Iterable[str]) -> Configuration:
    """Return the first configuration that leads to these members; a voter is no learner.

    Raises `NotLeaderError`, or `MembershipChangeRejectedError` while another change is under way, before this
    leader has committed an entry, or where no voter would be left.
    """
    target = Configuration(frozenset(voters), learners=frozenset(learners) - frozenset(voters))
    current = state.configuration
    if state.role is not Role.LEADER:
        raise NotLeaderError(state.leader)
    if current.outgoing_voters or not state.log.is_configuration_committed:
        raise MembershipChangeRejectedError("a change of members is still under way")
    if not state.has_committed_in_term:
        raise MembershipChangeRejectedError("this leader has not committed anything yet")
    if not target.voters:
        raise MembershipChangeRejectedError("no voter would be left")
    if target.voters == current.voters:
        return target
    return msgspec.structs.replace(target, outgoing_voters=current.voters)


def final_configuration(joint: Configuration) -> Configuration:
    """Return the configuration that ends the change which `joint` began."""
    return msgspec.structs.replace(joint, outgoing_voters=frozenset())


def is_removed(state: RaftState) -> bool:
    """Whether this leader is no voter any more, so that it has to step down (§4.2.2)."""
    return state.name not in state.configuration.voters
