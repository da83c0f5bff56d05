"""Measures a balancer with a watched endpoint file: `python benchmarks/servers_file.py [--quick]`.

Prints the tables of docs/resolvers.md:

- renames: time until the decision module has a new file, how long the event loop is blocked, and memory;
- set-ups: duration of a client's set-up while the file is replaced 50 times a second;
- in-place: which contents are accepted of a file that is changed in place.

The program runs as a process, and all connections are on loopback.
"""

import argparse
import enum
import json
import multiprocessing
import random
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from dataclasses import dataclass, field
from multiprocessing.synchronize import Event
from pathlib import Path

from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from running_balancer import (  # noqa: E402
    UPDATE_DISPATCHED,
    Durations,
    JsonObject,
    MeasuredBalancer,
    PingLoop,
)
from support.echo_servers import EchoServers  # noqa: E402

from wheatstile.resolvers.atomic_write import write_atomic  # noqa: E402
from wheatstile.resolvers.canonical_json import digest_of  # noqa: E402

FORK = multiprocessing.get_context("fork")  # the writer must not use processor time of this process
FILE_ACCEPTED = "endpoint_file_accepted"
SECTION = {"file": "servers.json", "mode": "override", "most_removed": 1.0, "most_bytes": 1 << 24}

RENAME_SIZES = (10, 1_000, 20_000)
LARGE_SIZE = 20_000  # number of servers with fewer renames
SET_UP_SIZES = (10, 1_000)
SET_UP_PHASES = 8
MIN_RENAME_PAUSE_S = 0.02  # with RENAME_PAUSE_PER_SERVER_S: time for the reader's pause after a poll
RENAME_PAUSE_PER_SERVER_S = 1e-4
REWRITE_INTERVAL_S = 0.02
FLEET_SIZE = 10  # servers that answer the clients
CLIENT_PAUSE_S = 0.002
GENERATION_GAP = 1_000_000  # more than the generations that a writer publishes in one phase
IN_PLACE_SERVERS = 20
FIRST_GENERATION = 999
LAST_GENERATION = 99_999
IN_PLACE_PAUSE_S = 0.3  # longer than the settle time
PAUSING_REWRITES = 40


class TableName(enum.StrEnum):
    """The tables. The values are those of the option `--only`."""

    RENAMES = "renames"
    SET_UPS = "set-ups"
    IN_PLACE = "in-place"


def running_balancer(servers_file: bytes) -> MeasuredBalancer:
    """Return a balancer with an endpoint file of this content. `with` starts and ends it."""
    return MeasuredBalancer({"servers": SECTION}, servers_file)


def servers_document(servers: int, generation: int, *, sealed: bool = True) -> bytes:
    """Return an endpoint file of this many servers. Every weight differs from that in the last generation."""
    rows = [
        {
            "id": f"link-{number}",
            "address": f"127.{1 + number // 65536}.{number // 256 % 256}.{number % 256}:9001",
            "site": "here",
            "weight": 1.0 + (number + generation) % 7,
        }
        for number in range(servers)
    ]
    value: JsonObject = {"servers": rows, "generation": generation}
    return sealed_document(value) if sealed else json.dumps(value).encode()


def sealed_document(value: JsonObject) -> bytes:
    """Return the document with its seal."""
    return json.dumps(value | {"seal": digest_of(value)}).encode()


def yes_or_no(value: bool) -> str:
    """Return the text of a table's cell."""
    return "yes" if value else "no"


def print_memory() -> None:
    """Print the resident memory of a balancer whose operator's file switches nothing on."""
    with MeasuredBalancer({"servers": {}}) as balancer:
        print(f"\nResident with the operator's file and nothing on: {balancer.resident_kb()} kB")


def print_renames(rounds: int) -> None:
    """Print a table of renames of new files into place. Each file changes every weight."""
    rows = []
    for servers in RENAME_SIZES:
        for sealed in (True, False):
            count = rounds if servers < LARGE_SIZE else max(5, rounds // 10)
            rows.append(measure_renames(servers, count, sealed=sealed))
    headers = ["servers", "sealed", "renames", "p50 ms", "p99 ms", "max ms"]
    headers += ["PING idle max ms", "PING p99 ms", "PING max ms", "resident kB"]
    print("\nFrom the write before a rename until the module has every server; PING during the renames\n")
    print(tabulate(rows, headers, tablefmt="github", disable_numparse=True))


def measure_renames(servers: int, count: int, *, sealed: bool) -> list[object]:
    """Return one row: renames, PING when idle, PING during the renames, and memory."""
    with running_balancer(servers_document(servers, 1, sealed=sealed)) as balancer:
        balancer.logged(UPDATE_DISPATCHED)
        resident_kb = balancer.resident_kb()
        idle_pings = PingLoop(balancer.listen)
        time.sleep(1.0)
        idle = idle_pings.stop()
        pings = PingLoop(balancer.listen)
        renames = Durations()
        for generation in range(2, 2 + count):
            data = servers_document(servers, generation, sealed=sealed)
            started_ns = time.monotonic_ns()
            write_atomic(balancer.servers_file, data)
            balancer.logged(UPDATE_DISPATCHED)
            renames.record_since(started_ns)
            time.sleep(MIN_RENAME_PAUSE_S + servers * RENAME_PAUSE_PER_SERVER_S)
        busy = pings.stop()
    return [
        servers,
        yes_or_no(sealed),
        count,
        *renames.summary_ms(),
        idle.percentile_ms(100),
        busy.percentile_ms(99),
        busy.percentile_ms(100),
        resident_kb,
    ]


def rewrite_until(file: Path, value: JsonObject, ended: Event) -> None:
    """Rename a new, sealed generation into place 50 times a second, until the event is set."""
    while not ended.wait(REWRITE_INTERVAL_S):
        value["generation"] += 1
        write_atomic(file, sealed_document(value))


@contextmanager
def rewritten(file: Path, value: JsonObject) -> Iterator[None]:
    """Let another process rewrite the file until the end of the block."""
    ended = FORK.Event()
    writer = FORK.Process(target=rewrite_until, args=(file, value, ended))
    writer.start()
    try:
        yield
    finally:
        ended.set()
        writer.join()
        value["generation"] += GENERATION_GAP


@dataclass
class SetUpCosts:
    """The durations of clients' set-ups, and the share of a core that the balancer used during them."""

    durations: Durations = field(default_factory=Durations)
    core_share: float = 0.0

    def row(self, servers: int, title: str) -> list[object]:
        """Return the row of the table for this many servers."""
        return [servers, title, self.durations.count, *self.durations.summary_ms(), f"{self.core_share:.2f}"]


@dataclass
class SetUpComparison:
    """The costs without and with a process that rewrites the file."""

    unchanged: SetUpCosts = field(default_factory=SetUpCosts)
    rewritten: SetUpCosts = field(default_factory=SetUpCosts)


def print_set_ups(phase_s: float) -> None:
    """Print a table of set-ups. Phases with and without rewriting alternate in one run."""
    fleet = EchoServers([f"link-{number}" for number in range(FLEET_SIZE)])
    rows = []
    for servers in SET_UP_SIZES:
        comparison = measure_set_ups(fleet, servers, phase_s)
        rows.append(comparison.unchanged.row(servers, "none"))
        rows.append(comparison.rewritten.row(servers, "50 a second"))
    fleet.close()
    headers = ["servers", "rewriting", "set-ups", "p50 ms", "p99 ms", "max ms", "core used"]
    print("\nA client's set-up; phases with and without rewriting alternate\n")
    print(tabulate(rows, headers, tablefmt="github", disable_numparse=True))


def measure_set_ups(fleet: EchoServers, servers: int, phase_s: float) -> SetUpComparison:
    """Return the costs of set-ups in phases that alternate: the file is unchanged, or rewritten."""
    value = fleet_document(fleet, servers)
    comparison = SetUpComparison()
    with running_balancer(sealed_document(value)) as balancer:
        balancer.logged(UPDATE_DISPATCHED)
        assert balancer.process.stderr
        # The balancer would block on its log once the pipe is full.
        threading.Thread(target=balancer.process.stderr.read, daemon=True).start()
        for phase in range(SET_UP_PHASES):
            is_rewritten = phase % 2 == 1
            costs = comparison.rewritten if is_rewritten else comparison.unchanged
            used_before_s = balancer.processor_s()
            with rewritten(balancer.servers_file, value) if is_rewritten else nullcontext():
                set_up_clients(balancer, phase, phase_s, costs.durations)
            used_s = balancer.processor_s() - used_before_s
            costs.core_share += used_s / (SET_UP_PHASES / 2 * phase_s)
    return comparison


def fleet_document(fleet: EchoServers, servers: int) -> JsonObject:
    """Return a document in which the servers of the fleet are ready, and all others draining."""
    rows = json.loads(servers_document(servers, 1))["servers"]
    for row in rows:
        if row["id"] in fleet.addresses:
            row["address"] = fleet.addresses[row["id"]]
        else:
            row["state"] = "draining"
    return {"servers": rows, "generation": 1}


def set_up_clients(balancer: MeasuredBalancer, phase: int, duration_s: float, durations: Durations) -> None:
    """Let one client after another set up a connection and close it, for this time."""
    end_s = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        started_ns = time.monotonic_ns()
        client = balancer.open(phase * 100_000 + number, group=f"g{number}")
        assert client.line().startswith("UP")
        durations.record_since(started_ns)
        client.close()
        time.sleep(CLIENT_PAUSE_S)


def print_in_place(rewrites: int) -> None:
    """Print a table of files that a writer changes in place, with and without a pause in the middle."""
    rows = []
    for sealed in (True, False):
        rows.append(measure_in_place(rewrites, 0.0, sealed=sealed))
        rows.append(measure_in_place(PAUSING_REWRITES, IN_PLACE_PAUSE_S, sealed=sealed))
    headers = ["sealed", "pause in the middle s", "rewrites", "files accepted", "mixtures"]
    print("\nA writer that changes the file in place (settle time 0.2 s); a mixture is an error\n")
    print(tabulate(rows, headers, "github"))


def measure_in_place(rewrites: int, pause_s: float, *, sealed: bool) -> list[object]:
    """Return one row: this many rewrites, with a pause in the middle of each."""
    # All documents have the same length, so that a mixture of two is valid JSON.
    documents = [
        servers_document(IN_PLACE_SERVERS, 1000 + number, sealed=sealed) for number in range(rewrites)
    ]
    digests = {document_digest(data) for data in documents}
    with running_balancer(servers_document(IN_PLACE_SERVERS, FIRST_GENERATION, sealed=sealed)) as balancer:
        balancer.logged(UPDATE_DISPATCHED)
        rewrite_in_pieces(balancer.servers_file, documents, pause_s)
        write_atomic(balancer.servers_file, servers_document(30, LAST_GENERATION, sealed=sealed))
        accepted = [balancer.logged(FILE_ACCEPTED)]
        while accepted[-1]["generation"] != LAST_GENERATION:
            accepted.append(balancer.logged(FILE_ACCEPTED))
    mixtures = [
        entry
        for entry in accepted[:-1]
        if entry["generation"] != FIRST_GENERATION and entry["digest"] not in digests
    ]
    return [yes_or_no(sealed), f"{pause_s:g}", rewrites, len(accepted) - 1, len(mixtures)]


def document_digest(data: bytes) -> str:
    """Return the digest of a document without its seal."""
    return digest_of({key: value for key, value in json.loads(data).items() if key != "seal"})


def rewrite_in_pieces(path: Path, documents: list[bytes], pause_s: float) -> None:
    """Overwrite the file with each document, in two pieces with a pause between them."""
    generator = random.Random(3)
    with open(path, "r+b", buffering=0) as file:
        for data in documents:
            file.seek(0)
            cut = generator.randint(1, len(data) - 1)
            file.write(data[:cut])
            if pause_s:
                time.sleep(pause_s)
            file.write(data[cut:])
            file.truncate(len(data))


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds")
    parser.add_argument("--only", choices=tuple(TableName), help="one of the tables")
    options = parser.parse_args()
    wanted = {TableName(options.only)} if options.only else set(TableName)
    if TableName.RENAMES in wanted:
        print_memory()
        print_renames(20 if options.quick else 100)
    if TableName.SET_UPS in wanted:
        print_set_ups(1.0 if options.quick else 5.0)
    if TableName.IN_PLACE in wanted:
        print_in_place(200 if options.quick else 2000)


if __name__ == "__main__":
    main()
