"""Random faults of a cluster of processes, by the seed of the generator that is passed in."""

from __future__ import annotations

import asyncio
import random

from process_cluster import ProcessCluster

MIN_RUNNING = 3
"""Members that are running when one is killed or paused, besides that one."""
HEAL_PROBABILITY = 0.5


async def inject_faults(cluster: ProcessCluster, rng: random.Random, count: int) -> list[str]:
    """Draw faults and return what they were; at most two members are down or paused at a time.

    Cuts may take the quorum away for a while.
    """
    injected: list[str] = []
    for _ in range(count):
        injected.append(await inject_fault(cluster, rng))
        await asyncio.sleep(rng.uniform(0.2, 0.9))
        if rng.random() < HEAL_PROBABILITY:
            cluster.link.tell("heal")
    return injected


async def inject_fault(cluster: ProcessCluster, rng: random.Random) -> str:  # noqa: PLR0911  one return a fault
    """Draw one fault, or the end of one, and return what it was."""
    running = [name for name in cluster.names if name in cluster.processes and name not in cluster.paused]
    victim = rng.choice(running)
    match rng.randrange(9):
        case 0 if len(running) > MIN_RUNNING:
            cluster.kill(victim)
            return f"kill {victim}"
        case 1 if len(running) > MIN_RUNNING:
            cluster.pause(victim)
            return f"pause {victim}"
        case 2:
            cluster.resume_all()
            cluster.start_missing()
            return "resume, restart"
        case 3:
            cluster.resume_all()
            for name in rng.sample(sorted(cluster.processes), max(0, len(cluster.processes) - MIN_RUNNING)):
                cluster.kill(name)
            cluster.start_missing()
            return "restart several at once"
        case 4:
            leader = await asyncio.wait_for(cluster.leader(), 5) if rng.random() < 0.5 else victim
            cluster.link.tell(f"cut * {leader}")
            return f"cut all to {leader}"
        case 5:
            cluster.link.tell(f"cut {victim} *")
            cluster.link.tell(f"reset {victim} *")
            return f"cut {victim} to all, with resets"
        case 6:
            cluster.link.tell("lose * * 0.2")
            cluster.link.tell("repeat * * 0.2")
            return "lose and repeat frames"
        case 7:
            cluster.link.tell(f"delay * {victim} 0.1 0.2")
            cluster.link.tell(f"rate {victim} * 20000")
            return f"delay and slow {victim}"
        case _:
            cluster.link.tell("heal")
            return "heal"
