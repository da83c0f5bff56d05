"""Five members as processes with the fault link between them: SIGKILL, SIGSTOP, restarts and one-way cuts, by
seed, under concurrent clients; what the clients saw has to be linearizable, and the members' logs agree.

One schedule replays with `WHEATSTILE_SEEDS=N-N pytest tests/store/test_processes.py -k schedule`.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import subprocess
import sys
import time
from functools import partial
from math import inf
from pathlib import Path

import pytest
from cluster import Members, check, played
from linearizable import Done, linearizable

from wheatstile.store.client import Client, Undecided
from wheatstile.store.protocol import LENGTH, Reply, Request

FIRST, _, LAST = os.environ.get("WHEATSTILE_SEEDS", "1-2").partition("-")
KEYS = ("k/a", "k/b")


Histories = dict[str, list[Done]]  # by key


async def use(client: Client, who: int, seed: int, histories: Histories, over: asyncio.Event) -> None:
    """Reads, writes and swaps on shared keys, each value once in the whole run."""
    rng = random.Random(f"{seed}:{who}")
    for turn in itertools.count():
        if over.is_set():
            return
        key, kind, value = rng.choice(KEYS), rng.choice(("get", "put", "swap")), f"{who}.{turn}"
        begun, ended, before, ok = time.monotonic(), inf, None, True
        read: str | None = value
        try:
            if kind == "put":
                await client.put(key, value.encode())
            else:
                found = await client.get(key)
                before = read = found.value.decode() if found else None
                if kind == "swap":
                    histories[key].append(Done("get", read, begun, time.monotonic()))
                    begun, read = time.monotonic(), value
                    ok = (await client.put(key, value.encode(), found.revision if found else 0)).ok
            ended = time.monotonic()
        except Undecided:
            if kind == "swap" and read != value:
                continue  # its read was not answered, and nothing was written
        histories[key].append(Done(kind, read, begun, ended, before, ok))
        await asyncio.sleep(rng.random() * 0.2)


async def faults(members: Members, rng: random.Random, count: int) -> list[str]:
    """Two members at most are down or stopped at a time; cuts may take the quorum away for a while."""
    log: list[str] = []
    for _ in range(count):
        up = [n for n in members.names if n in members.nodes and n not in members.stopped]
        victim, kind = rng.choice(up), rng.randrange(9)
        if kind == 0 and len(up) > 3:
            log.append(f"kill {victim}")
            members.kill(victim)
        elif kind == 1 and len(up) > 3:
            log.append(f"stop {victim}")
            members.stop(victim)
        elif kind == 2:
            log.append("wake, restart")
            members.wake()
            members.start(*(n for n in members.names if n not in members.nodes))
        elif kind == 3:
            log.append("a third at once")
            members.wake()
            for name in rng.sample(sorted(members.nodes), max(0, len(members.nodes) - 3)):
                members.kill(name)
            members.start(*(n for n in members.names if n not in members.nodes))
        elif kind == 4:
            leader = await asyncio.wait_for(members.leader(), 5) if rng.random() < 0.5 else victim
            log.append(f"{leader} hears nobody")
            members.link.tell(f"cut * {leader}")
        elif kind == 5:
            log.append(f"nobody hears {victim}")
            members.link.tell(f"cut {victim} *")
            members.link.tell(f"reset {victim} *")
        elif kind == 6:
            log.append("frames are lost and come twice")
            members.link.tell("lose * * 0.2")
            members.link.tell("repeat * * 0.2")
        elif kind == 7:
            log.append(f"{victim} is far away")
            members.link.tell(f"delay * {victim} 0.1 0.2")
            members.link.tell(f"rate {victim} * 20000")
        else:
            log.append("heal")
            members.link.tell("heal")
        await asyncio.sleep(rng.uniform(0.2, 0.9))
        if rng.random() < 0.5:
            members.link.tell("heal")
    return log


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
def test_schedule(tmp_path: Path, seed: int) -> None:
    async def run(members: Members) -> None:
        over = asyncio.Event()
        histories: Histories = {key: [] for key in KEYS}
        clients = [members.client(within=3.0) for _ in range(5)]
        using = asyncio.gather(*(use(c, who, seed, histories, over) for who, c in enumerate(clients)))
        log = await faults(members, random.Random(seed), 14)
        over.set()
        await using
        members.wake()
        members.link.tell("heal")
        members.start(*(n for n in members.names if n not in members.nodes))
        last = members.client(within=60)
        revision = (await last.put("last", b"")).revision
        for name in members.names:  # all of them come to it
            while (await last.status(name)).applied < revision:
                await asyncio.sleep(0.05)
        for client in [*clients, last]:
            client.close()
        for key, history in histories.items():
            assert linearizable(history), f"seed {seed}: {key} is not linearizable; faults: {log}"
        answered = sum(d.ended < inf for history in histories.values() for d in history)
        assert answered > 30, f"seed {seed}: only {answered} answered, faults {log}"

    assert check(played(Members(tmp_path, seed), run)) > 30


def test_members_are_added_replaced_and_handed_over(tmp_path: Path) -> None:
    """Through the command line, as operators do it; the newcomer comes by a snapshot."""
    members = Members(tmp_path, 1, "abcd")
    options = [f"--member={n}={members.clients[n]}" for n in members.names]

    def store(*arguments: str) -> str:
        command = [sys.executable, "-m", "wheatstile", "store", *arguments, *options, "--within", "30"]
        ran = subprocess.run(command, capture_output=True, text=True, timeout=120)
        assert ran.returncode == 0, ran.stderr
        return ran.stdout

    async def settled(client: Client, name: str, revision: int) -> None:
        while (await client.status(name)).applied < revision:
            await asyncio.sleep(0.05)
        found = await client.get("k/0", stale_ms=60_000)
        assert found and found.value == b"0"

    async def run(members: Members) -> None:
        client = members.client(within=30)
        for i in range(100):
            revision = (await client.put(f"k/{i}", str(i).encode())).revision
        members.start("d", voters="abc")
        peer_port = str(members.listen["d"])
        assert "voters a b c d" in await asyncio.to_thread(store, "add", "d", "--peer-port", peer_port)
        await settled(client, "d", revision)
        await asyncio.to_thread(store, "transfer", "d")
        assert await members.leader() == "d"
        assert "voters b c d" in await asyncio.to_thread(store, "remove", "a")
        members.kill("a")
        assert '"99"' in await asyncio.to_thread(store, "get", "k/99", "--json")
        with pytest.raises(AssertionError, match="is at revision"):
            await asyncio.to_thread(store, "put", "k/99", "x", "--revision", "1")
        client.close()

    written = played(members, run, voters="abc")
    assert check(written) > 100 and any(line.startswith("snapshot") for line in written["d"])


def test_a_watch_has_no_gap_and_no_repeat_over_deaths(tmp_path: Path) -> None:
    async def run(members: Members) -> None:
        client, seen = members.client(), []

        async def watch() -> None:
            async for event in client.watch("w/>", 0):
                seen.append(event.value.decode())
                if seen[-1] == "end":
                    return

        watching = asyncio.create_task(watch())
        for turn in range(6):
            for i in range(10):
                await client.put("w/x", f"{turn}.{i}".encode())
            victim = await members.leader()
            members.kill(victim)
            await client.put("w/x", f"{turn}.without {victim}".encode())
            members.start(victim)
        await client.put("w/x", b"end")
        await asyncio.wait_for(watching, 60)
        client.close()
        assert len(seen) == 6 * 11 + 1 and len(set(seen)) == len(seen)
        assert seen == sorted(seen, key=lambda v: (v == "end", v[:2], "without" in v))

    played(Members(tmp_path, 2, "abc"), run)


def test_a_member_cut_off_never_answers_as_if_it_were_current(tmp_path: Path) -> None:
    async def run(members: Members) -> None:
        client = members.client()
        await client.put("k", b"old")
        leader = await members.leader()
        alone = Client({leader: members.clients[leader]}, within=2.0)
        assert await alone.get("k")
        members.link.tell(f"isolate {leader}")
        others = Client({n: p for n, p in members.clients.items() if n != leader}, within=20)
        await others.put("k", b"new")
        with pytest.raises(Undecided):
            await alone.get("k")
        with pytest.raises(Undecided, match="stale"):
            await alone.get("k", stale_ms=200)
        stale = await alone.get("k", stale_ms=60_000)  # asked for as such, it says what it has
        assert stale and stale.value == b"old"
        with pytest.raises(Undecided):
            await alone.put("k", b"never")
        members.link.tell("heal")
        found = await alone.get("k") if await members.leader() else None
        assert found and found.value == b"new"
        for each in (client, alone, others):
            each.close()

    played(Members(tmp_path, 3, "abc"), run)


def test_a_malformed_frame_costs_its_connection_alone(tmp_path: Path) -> None:
    async def run(members: Members) -> None:
        client = members.client()
        await client.put("k", b"1")
        for port in (members.clients["a"], members.listen["a"]):
            for junk in (b"\xff\xff\xff\xff", LENGTH.pack(3) + b"abc", b"\x00"):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(junk)
                writer.write_eof()
                assert await reader.read() == b""
                writer.close()
        reply: Reply = await client.ask(Request("get", key="k"))
        assert reply.found[0].value == b"1"
        client.close()

    played(Members(tmp_path, 4, "ab"), run, voters="a")


def test_the_checker_knows_bad_histories() -> None:
    put, get = partial(Done, "put"), partial(Done, "get")
    assert linearizable([put("1", 0, 1), get("1", 2, 3)])
    assert linearizable([put("1", 0, inf), get(None, 1, 2), get("1", 3, 4)])
    assert linearizable([put("1", 0, 5), put("2", 0, 5), get("1", 6, 7)])
    assert not linearizable([put("1", 0, 1), put("2", 2, 3), get("1", 4, 5)]), "a stale read"
    assert not linearizable([put("1", 0, inf), get("1", 1, 2), get(None, 3, 4)]), "time goes back"
    assert not linearizable([put("1", 0, 1), get("2", 2, 3)]), "a value that nobody wrote"
    swaps = [Done("swap", v, 1, 2, None) for v in "12"]
    assert not linearizable(swaps), "two swaps from one state"
    assert linearizable([swaps[0], Done("swap", "2", 1, 2, None, ok=False)])
    with pytest.raises(AssertionError, match="led by"):
        check({"a": ["leader 3"], "b": ["leader 3"]})
    with pytest.raises(AssertionError, match="not"):
        check({"a": ["applied 1 1 x 1"], "b": ["applied 1 1 y 1"]})
