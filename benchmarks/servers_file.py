"""What the watched file of servers costs, on the real program: `python benchmarks/servers_file.py [--quick]`.

Prints the tables of docs/resolvers.md: the time from a rename to the module's being told, the longest stall
of the loop meanwhile (as PING shows it), memory, what a client's set-up takes while the file is rewritten 50
times a second, and what becomes of a file that is rewritten in place. Everything runs on loopback.
"""

import argparse
import json
import multiprocessing
import random
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from fleet import Fleet  # noqa: E402
from peers import NodeTest  # noqa: E402

from wheatstile.resolvers.atomic_write import write_atomic  # noqa: E402
from wheatstile.resolvers.canonical_json import digest_of  # noqa: E402

FORK = multiprocessing.get_context("fork")  # a writer that takes no time of this process's
TAKEN = "endpoint_file_accepted"
TOLD = "endpoint_update_dispatched"


def histogram() -> HdrHistogram:
    """Of microseconds, up to a minute."""
    return HdrHistogram(1, 60_000_000, 3)


def ms(found: HdrHistogram, share: float) -> str:
    return f"{found.get_value_at_percentile(share) / 1000:.1f}"


class Balancer(NodeTest):
    """One running balancer with an operator's file, driven from here."""

    def runTest(self) -> None:  # noqa: N802  unittest\'s name
        """Nothing: it is driven from outside."""

    def begin(self, section: dict[str, Any] | None, first: bytes = b"") -> None:
        self.setUp()
        folder = Path(self.folder.name)
        self.file = folder / "servers.json"
        operator = folder / "operator.json"
        self.file.write_bytes(first)
        operator.write_text(json.dumps({"servers": section or {}}))
        self.arguments = ("serve", "--file", str(operator), "--log-level", "debug")
        self.start([])
        if section:
            self.logged(TOLD)

    def memory(self) -> int:
        """Resident, in kB."""
        assert self.node
        status = Path(f"/proc/{self.node.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))

    def processor(self) -> float:
        """Seconds of processor time so far."""
        assert self.node
        parts = Path(f"/proc/{self.node.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / 100

    def end(self) -> None:
        self.doCleanups()


def section(**changes: Any) -> dict[str, Any]:
    return {"file": "servers.json", "mode": "override", "most_removed": 1.0, "most_bytes": 1 << 24} | changes


def document(servers: int, generation: int, seal: bool = True) -> bytes:
    rows = [
        {
            "id": f"link-{number}",
            "address": f"127.{1 + number // 65536}.{number // 256 % 256}.{number % 256}:9001",
            "site": "here",
            "weight": 1.0 + (number + generation) % 7,
        }
        for number in range(servers)
    ]
    value: dict[str, Any] = {"servers": rows, "generation": generation}
    return json.dumps(value | ({"seal": digest_of(value)} if seal else {})).encode()


class Pings(threading.Thread):
    """Asks PING over and over on one connection: an answer takes as long as the loop stands still."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.found, self.over = histogram(), False
        self.sock = socket.create_connection(address)

    def run(self) -> None:
        while not self.over:
            begin = time.monotonic_ns()
            self.sock.sendall(b"PING\r\n")
            self.sock.recv(16)
            self.found.record_value(max(1, (time.monotonic_ns() - begin) // 1000))
            time.sleep(0.001)

    def stop(self) -> HdrHistogram:
        self.over = True
        self.join()
        self.sock.close()
        return self.found


def renames(rounds: int) -> None:
    """Every weight changes each time: the whole list is told anew."""
    table = []
    for servers in (10, 1000, 20_000):
        for seal in (True, False):
            balancer = Balancer()
            balancer.begin(section(), document(servers, 1, seal))
            memory, taken, idle = balancer.memory(), histogram(), Pings(balancer.listen)
            idle.start()
            time.sleep(1.0)
            quiet = idle.stop()
            pings = Pings(balancer.listen)
            pings.start()
            count = rounds if servers < 20_000 else max(5, rounds // 10)
            for generation in range(2, 2 + count):
                data = document(servers, generation, seal)
                begin = time.monotonic_ns()
                write_atomic(balancer.file, data)
                balancer.logged(TOLD)
                taken.record_value((time.monotonic_ns() - begin) // 1000)
                time.sleep(0.02 + servers * 1e-4)  # the reader rests for three times what a look has cost it
            stall = pings.stop()
            row = [servers, "yes" if seal else "no", count, *(ms(taken, share) for share in (50, 99, 100))]
            table.append([*row, ms(quiet, 100), ms(stall, 99), ms(stall, 100), memory])
            balancer.end()
    heads = ["servers", "sealed", "renames", "p50 ms", "p99 ms", "max ms"]
    heads += ["PING idle max ms", "PING p99 ms", "PING max ms", "resident kB"]
    print("\nFrom the write before a rename to the module's being told of every server; PING meanwhile\n")
    print(tabulate(table, heads, tablefmt="github", disable_numparse=True))


def memory() -> None:
    balancer = Balancer()
    balancer.begin(None)
    print(f"\nResident with the operator's file and nothing on: {balancer.memory()} kB")
    balancer.end()


def rewrite(file: Path, value: dict[str, Any], over: Any) -> None:
    """A new generation 50 times a second, sealed and renamed into place."""
    while not over.wait(0.02):
        value["generation"] += 1
        write_atomic(file, json.dumps(value | {"seal": digest_of(value)}).encode())


def set_ups(seconds: float) -> None:
    """Phases with and without rewriting take turns in one run."""
    fleet = Fleet([f"link-{number}" for number in range(10)])
    table = []
    for servers in (10, 1000):
        rows = json.loads(document(servers, 1))["servers"]
        for row in rows[:10]:
            row["address"] = fleet.addresses[row["id"]]
        for row in rows[10:]:
            row["state"] = "draining"
        value: dict[str, Any] = {"servers": rows, "generation": 1}
        balancer = Balancer()
        balancer.begin(section(), json.dumps(value | {"seal": digest_of(value)}).encode())
        assert balancer.node
        assert balancer.node.stderr
        # A log that nobody reads stops its writer once the pipe is full.
        threading.Thread(target=balancer.node.stderr.read, daemon=True).start()
        found = {False: histogram(), True: histogram()}
        used = {False: 0.0, True: 0.0}
        for phase in range(8):
            rewriting, over = phase % 2 == 1, FORK.Event()

            writer = FORK.Process(target=rewrite, args=(balancer.file, value, over))
            begin_used = balancer.processor()
            if rewriting:
                writer.start()
            end = time.monotonic() + seconds
            number = 0
            while time.monotonic() < end:
                number += 1
                begin = time.monotonic_ns()
                client = balancer.open(phase * 100_000 + number, group=f"g{number}")
                assert client.line().startswith("UP")
                found[rewriting].record_value((time.monotonic_ns() - begin) // 1000)
                client.close()
                time.sleep(0.002)
            over.set()
            if rewriting:
                writer.join()
                value["generation"] += 1_000_000  # past the writer's, which has counted on its own
            used[rewriting] += (balancer.processor() - begin_used) / (4 * seconds)
        for rewriting in (False, True):
            one = found[rewriting]
            shares = [ms(one, share) for share in (50, 99, 100)]
            table.append(
                [
                    servers,
                    "50 a second" if rewriting else "none",
                    one.total_count,
                    *shares,
                    f"{used[rewriting]:.2f}",
                ]
            )
        balancer.end()
    fleet.close()
    heads = ["servers", "rewriting", "set-ups", "p50 ms", "p99 ms", "max ms", "core used"]
    print("\nA client's set-up, phases with and without rewriting in turn\n")
    print(tabulate(table, heads, tablefmt="github", disable_numparse=True))


def in_place(times: int) -> None:
    """One writer rewrites the file in pieces, in place; a careless one rests in the middle."""
    table = []
    for seal in (True, False):
        for rest in (0.0, 0.3):
            count = times if rest == 0 else 40
            balancer = Balancer()
            # All of one length, so that where two are mixed the mixture parses.
            whole = [document(20, 1000 + number, seal) for number in range(count)]
            balancer.begin(section(), document(20, 999, seal))
            digests = {
                digest_of({k: v for k, v in json.loads(data).items() if k != "seal"}) for data in whole
            }
            chance = random.Random(3)
            with open(balancer.file, "r+b", buffering=0) as file:
                for data in whole:
                    file.seek(0)
                    cut = chance.randint(1, len(data) - 1)
                    file.write(data[:cut])
                    if rest:
                        time.sleep(rest)
                    file.write(data[cut:])
                    file.truncate(len(data))
            last = document(30, 99_999, seal)
            write_atomic(balancer.file, last)
            taken: list[dict[str, Any]] = []
            while not taken or taken[-1]["generation"] != 99_999:
                taken.append(balancer.logged(TAKEN))
            mixed = sum(entry["digest"] not in digests for entry in taken[:-1] if entry["generation"] != 999)
            table.append(["yes" if seal else "no", f"{rest:g}", count, len(taken) - 1, mixed])
            balancer.end()
    print("\nA writer in place (settle time 0.2 s); a mixture of two files is a wrong one\n")
    print(
        tabulate(
            table,
            ["sealed", "rest in the middle s", "rewritings", "lists taken", "of them mixtures"],
            "github",
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds, for a look")
    parser.add_argument("--only", choices=("renames", "set-ups", "in-place"), help="one of the tables")
    options = parser.parse_args()
    quick = options.quick
    if options.only in (None, "renames"):
        memory()
        renames(20 if quick else 100)
    if options.only in (None, "set-ups"):
        set_ups(1.0 if quick else 5.0)
    if options.only in (None, "in-place"):
        in_place(200 if quick else 2000)


if __name__ == "__main__":
    main()
