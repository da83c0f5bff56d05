"""Random histories of a simulated Raft cluster, by seed.

Faults are those of `raft_cluster`, one-way cuts, pauses, restarts, member changes, leadership transfers.
"""

from __future__ import annotations

from contextlib import suppress

from raft_cluster import SimulatedCluster

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError

VOTER_COUNTS = (3, 5, 3, 4)  # by seed
MAX_CRASHED = 2
"""Nodes that are down at a time, but for crashes that `raft_cluster` draws."""
HEALING_STEPS = 400


def inject_fault(cluster: SimulatedCluster) -> None:  # noqa: C901  one branch for each fault
    """Draw what goes wrong, or gets well, in this step; mostly nothing does."""
    rng = cluster.rng
    victim = rng.choice(cluster.names)
    match rng.randrange(300):
        case 0 | 1 if len(cluster.crashed) < MAX_CRASHED:
            cluster.crashed.add(victim)
        case 2 | 3 | 4 | 5 | 6 | 7 if cluster.crashed:
            cluster.restart(rng.choice(sorted(cluster.crashed)))
        case 8 if not cluster.paused:
            cluster.paused.add(victim)
        case 9 | 10 | 11:
            cluster.paused.clear()
        case 12 | 13:
            cluster.cut_links.add((victim, rng.choice(cluster.names)))
        case 14:
            cluster.isolate(victim)
        case 15 | 16 | 17 | 18:
            cluster.cut_links.clear()
        case 19:
            for name in sorted(cluster.crashed)[:2]:
                cluster.restart(name)
        case 20 | 21 | 22:
            change_members(cluster)
        case 23:
            with suppress(NotLeaderError, MembershipChangeRejectedError):
                cluster.nodes[victim].transfer_leadership(rng.choice(cluster.names))


def change_members(cluster: SimulatedCluster) -> None:
    """Ask every running node for a change to the same voters."""
    voters = cluster.rng.sample(cluster.names, cluster.rng.choice((1, 3, 3, 4, 5)))
    for node in cluster.nodes.values():
        with suppress(NotLeaderError, MembershipChangeRejectedError):
            if node.name not in cluster.crashed:
                node.change_members(voters, cluster.rng.sample(cluster.names, 1))


def run_history(seed: int, steps: int = 500, voter_count: int = 0) -> SimulatedCluster:
    """Return the cluster after `steps` ticks with faults and `HEALING_STEPS` without.

    Raises `InvariantError`.
    """
    cluster = SimulatedCluster(seed, voter_count or VOTER_COUNTS[seed % len(VOTER_COUNTS)])
    for number in range(steps):
        inject_fault(cluster)
        if number % 5 == 0:
            cluster.request(number)
        cluster.step()
        if number % 50 == 0:
            cluster.check_log_matching()
    cluster.heal()
    for number in range(steps, steps + HEALING_STEPS):
        if number % 20 == 0:
            cluster.request(number)
        cluster.step()
    return cluster
