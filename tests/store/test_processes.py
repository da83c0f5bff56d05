"""Three store processes with the fault link between them, under a seeded schedule of SIGKILL, SIGSTOP,
restarts and one-way cuts; a checker over their logs. Replay one: `WHEATSTILE_SEED=N pytest -k processes`.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import time
from pathlib import Path

import msgspec
from fleet import Program

from wheatstile.store.machine import Command, Result
from wheatstile.store.server import LENGTH

NAMES = ("a", "b", "c")


def free_ports(n: int) -> list[int]:
    holders = [socket.create_server(("127.0.0.1", 0)) for _ in range(n)]
    ports = [h.getsockname()[1] for h in holders]
    for h in holders:
        h.close()
    return ports


class Store:
    """The three nodes, the link, and what each node wrote, over its restarts."""

    def __init__(self, root: Path, seed: int) -> None:
        self.root, self.seed = root, seed
        ports = free_ports(3 + 3 + 6)
        self.listen = dict(zip(NAMES, ports[:3], strict=True))
        self.client = dict(zip(NAMES, ports[3:6], strict=True))
        pairs = [(x, y) for x in NAMES for y in NAMES if x != y]
        self.via = dict(zip(pairs, ports[6:], strict=True))
        self.link = Program("link", *(f"{x}:{y}:{self.via[x, y]}:{self.listen[y]}" for x, y in pairs))
        self.link.expect("ready")
        self.nodes: dict[str, Program] = {}
        self.history: dict[str, list[str]] = {n: [] for n in NAMES}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        peers = [f"--peer={y}={self.via[name, y]}" for y in NAMES if y != name]
        node = Program(
            "store", "--name", name, "--listen", str(self.listen[name]), "--client", str(self.client[name]),
            "--dir", str(self.root / name), "--seed", str(self.seed), *peers)
        node.expect("ready")
        self.nodes[name] = node

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        node.signal(signal.SIGKILL)
        node.process.wait()
        node._reader.join()
        self.history[name] += node.history

    def request(self, command: Command, bound: float = 1.0) -> Result | None:
        """Asks the nodes in turn until one that leads answers; None if none did within `bound` seconds
        (then the outcome is unknown: it may yet be applied). The bound is against a hang, not a verdict."""
        end = time.monotonic() + bound
        while time.monotonic() < end:
            result = self._ask_each(command)
            if result is not None:
                return result
            time.sleep(0.05)  # pacing between rounds while an election runs
        return None

    def _ask_each(self, command: Command, within: float = 0.25) -> Result | None:
        for name in NAMES:
            if name not in self.nodes:
                continue
            try:
                with socket.create_connection(("127.0.0.1", self.client[name]), timeout=within) as sock:
                    body = msgspec.msgpack.encode(command)
                    sock.sendall(LENGTH.pack(len(body)) + body)
                    head = sock.recv(LENGTH.size, socket.MSG_WAITALL)
                    if len(head) < LENGTH.size:
                        continue
                    data = sock.recv(LENGTH.unpack(head)[0], socket.MSG_WAITALL)
                    result = msgspec.msgpack.decode(data, type=Result)
            except OSError:
                continue
            if result.ok or not result.reason.startswith("not leader"):
                return result
        return None

    def close(self) -> dict[str, list[str]]:
        for name in list(self.nodes):
            self.kill(name)
        self.link.close()
        return self.history


def check(history: dict[str, list[str]], acknowledged: set[str]) -> None:
    """One leader a term; at each index one entry on every node; every acknowledged write applied by all."""
    leaders: dict[str, str] = {}
    at: dict[int, tuple[str, str]] = {}
    for name, lines in history.items():
        for line in lines:
            words = line.split()
            if words[0] == "leader":
                first = leaders.setdefault(words[1], name)
                assert first == name, f"term {words[1]}: {first} and {name}"
            elif words[0] == "applied":
                index, entry = int(words[1]), (words[2], words[3])
                known = at.setdefault(index, entry)
                assert known == entry, f"{name} applied {entry} at {index}, not {known}"
    ids = {id_ for _, id_ in at.values()}
    assert acknowledged <= ids, f"acknowledged but lost: {sorted(acknowledged - ids)[:5]}"
    for name, lines in history.items():
        mine = {line.split()[3] for line in lines if line.startswith("applied")}
        assert acknowledged <= mine, f"{name} lacks {sorted(acknowledged - mine)[:5]}"


def test_processes_keep_one_history_through_kills_stops_and_cuts(tmp_path: Path) -> None:
    seed = int(os.environ.get("WHEATSTILE_SEED", "1"))
    rng = random.Random(seed)
    store = Store(tmp_path, seed)
    acknowledged: set[str] = set()
    stopped: str | None = None
    try:
        for step in range(30):
            roll = rng.random()
            victim = rng.choice(NAMES)
            if roll < 0.15 and victim in store.nodes and len(store.nodes) == 3 and stopped is None:
                store.kill(victim)
            elif roll < 0.3 and len(store.nodes) < 3:
                store.start(next(n for n in NAMES if n not in store.nodes))
            elif roll < 0.4 and stopped is None and victim in store.nodes and len(store.nodes) == 3:
                store.nodes[victim].signal(signal.SIGSTOP)
                stopped = victim
            elif roll < 0.5 and stopped is not None:
                store.nodes[stopped].signal(signal.SIGCONT)
                stopped = None
            elif roll < 0.6:
                src, dst = rng.sample(NAMES, 2)
                assert store.link.tell(f"cut {src} {dst}") == "ok"
            elif roll < 0.7:
                assert store.link.tell("heal") == "ok"
            write = f"w{step}"
            result = store.request(Command("put", f"k{step % 5}", write.encode(), id=write))
            if result is not None and result.ok:
                acknowledged.add(write)
        # heal everything, and wait until a last write is applied by all
        if stopped is not None:
            store.nodes[stopped].signal(signal.SIGCONT)
        assert store.link.tell("heal") == "ok"
        for name in NAMES:
            if name not in store.nodes:
                store.start(name)
        result = None
        while result is None or not result.ok:
            result = store.request(Command("put", "last", b"", id="last"))
        for node in store.nodes.values():
            node.expect("applied", within=60)
            while not any(line.endswith(" last 1") for line in node.history):
                node.expect("applied", within=60)
    finally:
        history = store.close()
    assert acknowledged, "no write was acknowledged: the schedule tested nothing"
    check(history, acknowledged | {"last"})
