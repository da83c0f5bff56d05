"""Random histories of a `SimulatedCluster`, determined by a seed.

They add crashes, pauses, cut links, restarts, membership changes and leadership transfers to the faults of
`raft_cluster`.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from raft_cluster import SimulatedCluster, check_log_matching

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError

VOTER_COUNTS = (3, 5, 3, 4)
"""The cluster of a seed has `VOTER_COUNTS[seed % len(VOTER_COUNTS)]` initial voters."""
MAX_CRASHED = 2
"""Limit of crashed nodes for `crash`. The random crashes of `raft_cluster` do not observe it."""
MAX_RESTARTED_AT_ONCE = 2
STEPS_WITH_FAULTS = 500
STEPS_WITHOUT_FAULTS = 400
REQUEST_INTERVAL = 5
"""Steps with faults from one request to the next."""
RECOVERY_REQUEST_INTERVAL = 20
"""Steps without faults from one request to the next."""
CHECK_INTERVAL = 50
"""Steps from one check of log matching to the next."""
FAULT_DRAW_RANGE = 300
"""Each step draws a number below this one. A number below `len(FAULTS)` injects that fault."""


def inject_fault(cluster: SimulatedCluster) -> None:
    """Inject a random fault or end one. Most calls do neither."""
    victim = cluster.rng.choice(cluster.names)
    fault_index = cluster.rng.randrange(FAULT_DRAW_RANGE)
    if fault_index < len(FAULTS):
        FAULTS[fault_index](cluster, victim)


def crash(cluster: SimulatedCluster, victim: str) -> None:
    """Crash the victim, unless `MAX_CRASHED` nodes have crashed already."""
    if len(cluster.crashed) < MAX_CRASHED:
        cluster.crashed.add(victim)


def restart_one(cluster: SimulatedCluster, _victim: str) -> None:
    """Restart one crashed node, if there is one."""
    if cluster.crashed:
        cluster.restart(cluster.rng.choice(sorted(cluster.crashed)))


def pause(cluster: SimulatedCluster, victim: str) -> None:
    """Pause the victim, unless a node is paused already."""
    if not cluster.paused:
        cluster.paused.add(victim)


def resume_all(cluster: SimulatedCluster, _victim: str) -> None:
    """Resume the paused nodes."""
    cluster.paused.clear()


def cut_link(cluster: SimulatedCluster, victim: str) -> None:
    """Cut the link from the victim to a random node, in this direction only."""
    cluster.cut_links.add((victim, cluster.rng.choice(cluster.names)))


def isolate(cluster: SimulatedCluster, victim: str) -> None:
    """Cut all links of the victim in both directions."""
    cluster.isolate(victim)


def heal_links(cluster: SimulatedCluster, _victim: str) -> None:
    """Restore all links."""
    cluster.cut_links.clear()


def restart_several(cluster: SimulatedCluster, _victim: str) -> None:
    """Restart up to `MAX_RESTARTED_AT_ONCE` crashed nodes in one step."""
    for name in sorted(cluster.crashed)[:MAX_RESTARTED_AT_ONCE]:
        cluster.restart(name)


def change_members(cluster: SimulatedCluster, _victim: str) -> None:
    """Ask every running node to change to the same random voters."""
    voters = cluster.rng.sample(cluster.names, cluster.rng.choice((1, 3, 3, 4, 5)))
    for node in cluster.nodes.values():
        with suppress(NotLeaderError, MembershipChangeRejectedError):
            if node.name not in cluster.crashed:
                node.change_members(voters, cluster.rng.sample(cluster.names, 1))


def transfer_leadership(cluster: SimulatedCluster, victim: str) -> None:
    """Ask the victim to transfer leadership, which it rejects if it is not the leader."""
    with suppress(NotLeaderError, MembershipChangeRejectedError):
        cluster.nodes[victim].transfer_leadership(cluster.rng.choice(cluster.names))


Fault = Callable[[SimulatedCluster, str], None]

FAULTS: tuple[Fault, ...] = (
    *(crash,) * 2,
    *(restart_one,) * 6,
    pause,
    *(resume_all,) * 3,
    *(cut_link,) * 2,
    isolate,
    *(heal_links,) * 4,
    restart_several,
    *(change_members,) * 3,
    transfer_leadership,
)
"""A fault that is listed n times has the probability n / `FAULT_DRAW_RANGE` in each step."""


def run_history(seed: int) -> SimulatedCluster:
    """Run a history and return its cluster, which can recover during the `STEPS_WITHOUT_FAULTS` at the end.

    Raises `InvariantError`.
    """
    cluster = SimulatedCluster(seed, VOTER_COUNTS[seed % len(VOTER_COUNTS)])
    for step in range(STEPS_WITH_FAULTS):
        inject_fault(cluster)
        if step % REQUEST_INTERVAL == 0:
            cluster.request(step)
        cluster.step()
        if step % CHECK_INTERVAL == 0:
            check_log_matching(cluster.nodes.values())
    cluster.heal()
    for step in range(STEPS_WITH_FAULTS, STEPS_WITH_FAULTS + STEPS_WITHOUT_FAULTS):
        if step % RECOVERY_REQUEST_INTERVAL == 0:
            cluster.request(step)
        cluster.step()
    return cluster
