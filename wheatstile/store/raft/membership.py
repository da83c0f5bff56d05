"""The rules of membership changes by joint consensus (§4.3).

A change of voters appends two configurations. The first one is joint: decisions need a majority of the
outgoing voters and a majority of the new voters. Once it is committed, the leader appends the final one,
which has only the new voters. A change of learners alone needs one configuration.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from wheatstile.store.errors import MembershipChangeRejectedError
from wheatstile.store.raft.messages import Configuration
from wheatstile.store.raft.state import RaftState


def plan_change(state: RaftState, voters: Iterable[str], learners: Iterable[str]) -> Configuration:
    """Return the first configuration of a change to these members. A name in both groups becomes a voter.

    Raises `NotLeaderError` if this node is not the leader. Raises `MembershipChangeRejectedError` if another
    change is in progress, if this leader has not committed an entry of its term yet, or if no voter would be
    left.
    """
    target = Configuration(frozenset(voters), learners=frozenset(learners) - frozenset(voters))
    current = state.configuration
    state.require_leader()
    if current.outgoing_voters or not state.log.is_configuration_committed:
        raise MembershipChangeRejectedError("another membership change is still in progress")
    if not state.has_committed_in_term:
        raise MembershipChangeRejectedError("this leader has not committed an entry of its term yet")
    if not target.voters:
        raise MembershipChangeRejectedError("the change would leave the cluster without a voter")
    if target.voters == current.voters:
        return target
    return msgspec.structs.replace(target, outgoing_voters=current.voters)


def final_configuration(joint: Configuration) -> Configuration:
    """Return the configuration that completes the change started by `joint`."""
    return msgspec.structs.replace(joint, outgoing_voters=frozenset())


def is_removed(state: RaftState) -> bool:
    """Return whether this leader is no longer a voter and must step down (§4.2.2)."""
    return state.name not in state.configuration.voters


def may_campaign(state: RaftState) -> bool:
    """Return whether this node may start an election.

    A voter may start one. A node that is a voter in the preceding configuration but not in the current one
    may start one until it knows that the change is committed (§4.2.2). It may be the only node that has
    stored the change, and then no other node can win an election without its vote. It needs a quorum of the
    current configuration, in which its own vote does not count.
    """
    log = state.log
    if state.name in log.configuration.electors:
        return True
    preceding = log.preceding_configuration
    return not log.is_configuration_committed and preceding is not None and state.name in preceding.electors
