"""Measures a balancer that watches an endpoint file: `python benchmarks/servers_file.py [--quick]`.

Prints the tables of docs/resolvers.md:

- renames: time from writing a new file until it is dispatched to the decision module, delays of the event
  loop, and memory;
- set-ups: duration of session setups while the file is replaced 50 times a second;
- in-place: contents that are accepted from a file that is overwritten in place.

The balancer runs as a process, and all connections are on loopback.
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

FORK = multiprocessing.get_context("fork")  # the rewriter must not use CPU time of this process
FILE_ACCEPTED = "endpoint_file_accepted"
SECTION = {"file": "servers.json", "mode": "override", "most_removed": 1.0, "most_bytes": 1 << 24}

RENAME_SIZES = (10, 1_000, 20_000)
LARGE_SIZE = 20_000  # number of servers from which fewer renames are measured
SETUP_SIZES = (10, 1_000)
SETUP_PHASES = 8
MIN_RENAME_PAUSE_S = 0.02  # pause between renames, plus RENAME_PAUSE_PER_SERVER_S for each server
RENAME_PAUSE_PER_SERVER_S = 1e-4  # the balancer waits after each poll, in proportion to the poll's duration
REWRITE_INTERVAL_S = 0.02
ECHO_SERVER_COUNT = 10  # number of servers that serve sessions
CLIENT_PAUSE_S = 0.002
GENERATION_GAP = 1_000_000  # greater than the number of generations that a rewriter publishes in one phase
IN_PLACE_SERVERS = 20
FIRST_GENERATION = 999
LAST_GENERATION = 99_999
IN_PLACE_PAUSE_S = 0.3  # longer than the settle time of 0.2 s
PAUSED_REWRITES = 40


class TableName(enum.StrEnum):
    """The names of the tables, as accepted by the option `--only`."""

    RENAMES = "renames"
    SETUPS = "set-ups"
    IN_PLACE = "in-place"


def balancer_with_file(servers_file: bytes) -> MeasuredBalancer:
    """Return a context manager for a balancer with an endpoint file of this content."""
    return MeasuredBalancer({"servers": SECTION}, servers_file)


def servers_document(servers: int, generation: int, *, sealed: bool = True) -> bytes:
    """Return an endpoint file with this many servers. All weights change with each generation."""
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
    """Encode this document with its seal."""
    return json.dumps(value | {"seal": digest_of(value)}).encode()


def yes_or_no(value: bool) -> str:
    """Return the table cell for a boolean value."""
    return "yes" if value else "no"


def print_memory() -> None:
    """Print the resident memory of a balancer whose operator's file enables nothing."""
    with MeasuredBalancer({"servers": {}}) as balancer:
        print(f"\nResident memory with an operator's file that enables nothing: {balancer.resident_kb()} kB")


def print_renames(rounds: int) -> None:
    """Print the table of renames. Each renames a new file with changed weights over the current file."""
    rows = []
    for servers in RENAME_SIZES:
        for sealed in (True, False):
            count = rounds if servers < LARGE_SIZE else max(5, rounds // 10)
            rows.append(measure_renames(servers, count, sealed=sealed))
    headers = ["servers", "sealed", "renames", "p50 ms", "p99 ms", "max ms"]
    headers += ["PING idle max ms", "PING p99 ms", "PING max ms", "resident kB"]
    print("\nTime from the write before a rename until the list is dispatched; PING during the renames\n")
    print(tabulate(rows, headers, tablefmt="github", disable_numparse=True))


def measure_renames(servers: int, count: int, *, sealed: bool) -> list[object]:
    """Return one row: times of the renames, latency of PING before and during the renames, and memory."""
    with balancer_with_file(servers_document(servers, 1, sealed=sealed)) as balancer:
        balancer.wait_for_event(UPDATE_DISPATCHED)
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
            balancer.wait_for_event(UPDATE_DISPATCHED)
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


def rewrite_repeatedly(file: Path, value: JsonObject, ended: Event) -> None:
    """Replace the file with a new, sealed generation 50 times a second, until the event is set."""
    while not ended.wait(REWRITE_INTERVAL_S):
        value["generation"] += 1
        write_atomic(file, sealed_document(value))


@contextmanager
def rewriter_process(file: Path, value: JsonObject) -> Iterator[None]:
    """Run a process that replaces the file repeatedly until the end of the context."""
    ended = FORK.Event()
    rewriter = FORK.Process(target=rewrite_repeatedly, args=(file, value, ended))
    rewriter.start()
    try:
        yield
    finally:
        ended.set()
        rewriter.join()
        value["generation"] += GENERATION_GAP


@dataclass
class SetupCosts:
    """The durations of session setups, and the share of a CPU core that the balancer used."""

    durations: Durations = field(default_factory=Durations)
    core_share: float = 0.0

    def row(self, servers: int, title: str) -> list[object]:
        """Return a table row for this many servers."""
        return [servers, title, self.durations.count, *self.durations.summary_ms(), f"{self.core_share:.2f}"]


@dataclass
class SetupComparison:
    """The costs of session setups, without and with a process that replaces the endpoint file."""

    unchanged: SetupCosts = field(default_factory=SetupCosts)
    rewritten: SetupCosts = field(default_factory=SetupCosts)


def print_setups(phase_s: float) -> None:
    """Print the table of session setups, in alternating phases without and with replacement of the file."""
    echo_servers = EchoServers([f"link-{number}" for number in range(ECHO_SERVER_COUNT)])
    rows = []
    for servers in SETUP_SIZES:
        comparison = measure_setups(echo_servers, servers, phase_s)
        rows.append(comparison.unchanged.row(servers, "none"))
        rows.append(comparison.rewritten.row(servers, "50 a second"))
    echo_servers.close()
    headers = ["servers", "rewriting", "set-ups", "p50 ms", "p99 ms", "max ms", "core used"]
    print("\nSession setups; phases without and with rewriting of the file alternate\n")
    print(tabulate(rows, headers, tablefmt="github", disable_numparse=True))


def measure_setups(echo_servers: EchoServers, servers: int, phase_s: float) -> SetupComparison:
    """Measure session setups in alternating phases: the file is unchanged, or replaced repeatedly."""
    value = echo_servers_document(echo_servers, servers)
    comparison = SetupComparison()
    with balancer_with_file(sealed_document(value)) as balancer:
        balancer.wait_for_event(UPDATE_DISPATCHED)
        assert balancer.process.stderr
        # Read the log continuously: the balancer would block on its log once the pipe is full.
        threading.Thread(target=balancer.process.stderr.read, daemon=True).start()
        for phase in range(SETUP_PHASES):
            is_rewritten = phase % 2 == 1
            costs = comparison.rewritten if is_rewritten else comparison.unchanged
            used_before_s = balancer.cpu_time_s()
            with rewriter_process(balancer.servers_file, value) if is_rewritten else nullcontext():
                set_up_sessions(balancer, phase, phase_s, costs.durations)
            used_s = balancer.cpu_time_s() - used_before_s
            costs.core_share += used_s / (SETUP_PHASES / 2 * phase_s)
    return comparison


def echo_servers_document(echo_servers: EchoServers, servers: int) -> JsonObject:
    """Return a document in which the echo servers are ready and all other servers are draining."""
    rows = json.loads(servers_document(servers, 1))["servers"]
    for row in rows:
        if row["id"] in echo_servers.addresses:
            row["address"] = echo_servers.addresses[row["id"]]
        else:
            row["state"] = "draining"
    return {"servers": rows, "generation": 1}


def set_up_sessions(balancer: MeasuredBalancer, phase: int, duration_s: float, durations: Durations) -> None:
    """Establish and close sessions one after another for this duration, and record the setup times."""
    end_s = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        started_ns = time.monotonic_ns()
        client = balancer.send_open(phase * 100_000 + number, group=f"g{number}")
        assert client.line().startswith("UP")
        durations.record_since(started_ns)
        client.close()
        time.sleep(CLIENT_PAUSE_S)


def print_in_place(rewrites: int) -> None:
    """Print the table of files that are overwritten in place, without and with a pause in the middle."""
    rows = []
    for sealed in (True, False):
        rows.append(measure_in_place(rewrites, 0.0, sealed=sealed))
        rows.append(measure_in_place(PAUSED_REWRITES, IN_PLACE_PAUSE_S, sealed=sealed))
    headers = ["sealed", "pause in the middle s", "rewrites", "files accepted", "mixtures"]
    print(
        "\nFiles overwritten in place (settle time 0.2 s); an accepted mixture of two contents is an error\n"
    )
    print(tabulate(rows, headers, "github"))


def measure_in_place(rewrites: int, pause_s: float, *, sealed: bool) -> list[object]:
    """Return one row for this many rewrites, with a pause in the middle of each."""
    # All documents have the same length, so that a mixture of two of them is valid JSON.
    documents = [
        servers_document(IN_PLACE_SERVERS, 1000 + number, sealed=sealed) for number in range(rewrites)
    ]
    digests = {document_digest(data) for data in documents}
    with balancer_with_file(servers_document(IN_PLACE_SERVERS, FIRST_GENERATION, sealed=sealed)) as balancer:
        balancer.wait_for_event(UPDATE_DISPATCHED)
        rewrite_in_pieces(balancer.servers_file, documents, pause_s)
        write_atomic(balancer.servers_file, servers_document(30, LAST_GENERATION, sealed=sealed))
        accepted = [balancer.wait_for_event(FILE_ACCEPTED)]
        while accepted[-1]["generation"] != LAST_GENERATION:
            accepted.append(balancer.wait_for_event(FILE_ACCEPTED))
    mixtures = [
        entry
        for entry in accepted[:-1]
        if entry["generation"] != FIRST_GENERATION and entry["digest"] not in digests
    ]
    return [yes_or_no(sealed), f"{pause_s:g}", rewrites, len(accepted) - 1, len(mixtures)]


def document_digest(data: bytes) -> str:
    """Return the digest of a document, computed without its seal."""
    return digest_of({key: value for key, value in json.loads(data).items() if key != "seal"})


def rewrite_in_pieces(path: Path, documents: list[bytes], pause_s: float) -> None:
    """Overwrite the file in place with each document, in two writes with a pause between them."""
    generator = random.Random(3)
    with open(path, "r+b", buffering=0) as file:
        for data in documents:
            file.seek(0)
            split = generator.randint(1, len(data) - 1)
            file.write(data[:split])
            if pause_s:
                time.sleep(pause_s)
            file.write(data[split:])
            file.truncate(len(data))


def main() -> None:
    """Run the measurements and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds")
    parser.add_argument("--only", choices=tuple(TableName), help="print only this table")
    options = parser.parse_args()
    wanted = {TableName(options.only)} if options.only else set(TableName)
    if TableName.RENAMES in wanted:
        print_memory()
        print_renames(20 if options.quick else 100)
    if TableName.SETUPS in wanted:
        print_setups(1.0 if options.quick else 5.0)
    if TableName.IN_PLACE in wanted:
        print_in_place(200 if options.quick else 2000)


if __name__ == "__main__":
    main()
