"""Injects random faults into a `ProcessCluster`. The seed of the caller's generator determines the faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from process_cluster import ProcessCluster

MIN_RUNNING = 3
"""Minimum number of members that keep running when another one is killed or paused."""
HEAL_PROBABILITY = 0.5
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 0.9
FIND_LEADER_TIMEOUT_S = 5


async def inject_faults(cluster: ProcessCluster, rng: random.Random, count: int) -> list[str]:
    """Inject random faults with pauses between them, and return their descriptions.

    At most two members are killed or paused at a time, but cut connections may temporarily prevent a quorum.
    Faults may still be active on return, so the caller must heal the connections and restart members.
    """
    injected: list[str] = []
    for _ in range(count):
        injected.append(await inject_fault(cluster, rng))
        await asyncio.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        if rng.random() < HEAL_PROBABILITY:
            cluster.inject("heal")
    return injected


async def inject_fault(cluster: ProcessCluster, rng: random.Random) -> str:
    """Inject one random fault, or end some faults, and return a description of it."""
    victim = rng.choice(running_members(cluster))
    fault = FAULTS[rng.randrange(len(FAULTS))]
    return await fault(cluster, rng, victim)


def running_members(cluster: ProcessCluster) -> list[str]:
    """Return the members that are neither killed nor paused."""
    return [name for name in cluster.names if name in cluster.processes and name not in cluster.paused]


async def kill_member(cluster: ProcessCluster, rng: random.Random, victim: str) -> str:
    """Kill the victim, unless too few members would keep running."""
    if len(running_members(cluster)) <= MIN_RUNNING:
        return await heal(cluster, rng, victim)
    cluster.kill(victim)
    return f"kill {victim}"


async def pause_member(cluster: ProcessCluster, rng: random.Random, victim: str) -> str:
    """Pause the victim, unless too few members would keep running."""
    if len(running_members(cluster)) <= MIN_RUNNING:
        return await heal(cluster, rng, victim)
    cluster.pause(victim)
    return f"pause {victim}"


async def resume_and_restart(cluster: ProcessCluster, _rng: random.Random, _victim: str) -> str:
    """Resume the paused members and start the killed ones."""
    cluster.resume_all()
    cluster.start_missing()
    return "resume, restart"


async def restart_several(cluster: ProcessCluster, rng: random.Random, _victim: str) -> str:
    """Kill all but `MIN_RUNNING` members, and start all missing members concurrently."""
    cluster.resume_all()
    killed_count = max(0, len(cluster.processes) - MIN_RUNNING)
    for name in rng.sample(sorted(cluster.processes), killed_count):
        cluster.kill(name)
    cluster.start_missing()
    return "restart several at once"


async def cut_incoming(cluster: ProcessCluster, rng: random.Random, victim: str) -> str:
    """Cut all connections to the victim or to the leader."""
    target = victim
    if rng.random() < 0.5:
        target = await asyncio.wait_for(cluster.leader(), FIND_LEADER_TIMEOUT_S)
    cluster.inject(f"cut * {target}")
    return f"cut all to {target}"


async def cut_outgoing(cluster: ProcessCluster, _rng: random.Random, victim: str) -> str:
    """Cut and reset all connections from the victim."""
    cluster.inject(f"cut {victim} *")
    cluster.inject(f"reset {victim} *")
    return f"cut {victim} to all, with resets"


async def lose_and_repeat_frames(cluster: ProcessCluster, _rng: random.Random, _victim: str) -> str:
    """Drop and repeat frames on all connections."""
    cluster.inject("lose * * 0.2")
    cluster.inject("repeat * * 0.2")
    return "lose and repeat frames"


async def delay_and_slow(cluster: ProcessCluster, _rng: random.Random, victim: str) -> str:
    """Delay data to the victim, and limit the rate of data from the victim."""
    cluster.inject(f"delay * {victim} 0.1 0.2")
    cluster.inject(f"rate {victim} * 20000")
    return f"delay and slow {victim}"


async def heal(cluster: ProcessCluster, _rng: random.Random, _victim: str) -> str:
    """End all faults of connections."""
    cluster.inject("heal")
    return "heal"


Fault = Callable[[ProcessCluster, random.Random, str], Awaitable[str]]

FAULTS: tuple[Fault, ...] = (
    kill_member,
    pause_member,
    resume_and_restart,
    restart_several,
    cut_incoming,
    cut_outgoing,
    lose_and_repeat_frames,
    delay_and_slow,
    heal,
)
