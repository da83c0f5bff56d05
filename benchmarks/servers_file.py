"""What the watched file of servers costs, on the real program: `python benchmarks/servers_file.py [--quick]`.

Prints the tables of docs/resolvers.md: the time from a rename to the module's being told, the longest stall
of the loop meanwhile (as PING shows it), memory, what a client's set-up takes while the file is rewritten 50
times a second, and what becomes of a file that is rewritten in place. Everything runs on loopback.
"""

import argparse
import enum
import json
import multiprocessing
import random
import sys
import threading
import time
from dataclasses import dataclass, field
from multiprocessing.synchronize import Event
from pathlib import Path

from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from fleet import Fleet  # noqa: E402
from running_balancer import (  # noqa: E402
    UPDATE_DISPATCHED,
    Durations,
    JsonObject,
    MeasuredBalancer,
    PingLoop,
)

from wheatstile.resolvers.atomic_write import write_atomic  # noqa: E402
from wheatstile.resolvers.canonical_json import digest_of  # noqa: E402

FORK = multiprocessing.get_context("fork")  # a writer that takes no time of this process's
FILE_ACCEPTED = "endpoint_file_accepted"
SECTION = {"file": "servers.json", "mode": "override", "most_removed": 1.0, "most_bytes": 1 << 24}

RENAME_SIZES = (10, 1_000, 20_000)
LARGE_SIZE = 20_000
SET_UP_SIZES = (10, 1_000)
SET_UP_PHASES = 8
REWRITE_INTERVAL_S = 0.02
GENERATION_GAP = 1_000_000
"""Added after each phase: the writer has counted on its own meanwhile."""
IN_PLACE_SERVERS = 20
FIRST_GENERATION = 999
LAST_GENERATION = 99_999
CARELESS_PAUSE_S = 0.3
CARELESS_REWRITES = 40


class TableName(enum.StrEnum):
    """The tables, as `--only` names them."""

    RENAMES = "renames"
    SET_UPS = "set-ups"
    IN_PLACE = "in-place"


def running_balancer(servers_file: bytes) -> MeasuredBalancer:
    """Return a balancer whose servers come from a watched file with this content; `with` starts it."""
    return MeasuredBalancer({"servers": SECTION}, servers_file)


def servers_document(servers: int, generation: int, *, sealed: bool = True) -> bytes:
    """Return a file of so many servers; each generation gives every one of them another weight."""
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
    """Return the word that stands in a table."""
    return "yes" if value else "no"


def print_memory() -> None:
    """Print what a balancer takes whose operator's file switches nothing on."""
    with MeasuredBalancer({"servers": {}}) as balancer:
        print(f"\nResident with the operator's file and nothing on: {balancer.resident_kb()} kB")


def print_renames(rounds: int) -> None:
    """Print what renames of new files into place cost; every weight changes each time."""
    rows = []
    for servers in RENAME_SIZES:
        for sealed in (True, False):
            count = rounds if servers < LARGE_SIZE else max(5, rounds // 10)
            rows.append(measure_renames(servers, count, sealed=sealed))
    headers = ["servers", "sealed", "renames", "p50 ms", "p99 ms", "max ms"]
    headers += ["PING idle max ms", "PING p99 ms", "PING max ms", "resident kB"]
    print("\nFrom the write before a rename to the module's being told of every server; PING meanwhile\n")
    print(tabulate(rows, headers, tablefmt="github", disable_numparse=True))


def measure_renames(servers: int, count: int, *, sealed: bool) -> list[object]:
    """One row: renames, PING while nothing happens, PING meanwhile, and memory."""
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
            time.sleep(0.02 + servers * 1e-4)  # the reader rests for three times what a poll has cost it
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
    """Rename a new, sealed generation into place 50 times a second."""
    while not ended.wait(REWRITE_INTERVAL_S):
        value["generation"] += 1
        write_atomic(file, sealed_document(value))


@dataclass
class SetUpCosts:
    """Clients' set-ups, and the share of a core that the balancer has used meanwhile."""

    durations: Durations = field(default_factory=Durations)
    core_share: float = 0.0


def print_set_ups(phase_s: float) -> None:
    """Print what set-ups cost; phases with and without rewriting take turns in one run."""
    fleet = Fleet([f"link-{number}" for number in range(10)])
    rows = []
    for servers in SET_UP_SIZES:
        costs = measure_set_ups(fleet, servers, phase_s)
        for rewriting in (False, True):
            one = costs[rewriting]
            title = "50 a second" if rewriting else "none"
            durations = one.durations
            rows.append([servers, title, durations.count, *durations.summary_ms(), f"{one.core_share:.2f}"])
    fleet.close()
    headers = ["servers", "rewriting", "set-ups", "p50 ms", "p99 ms", "max ms", "core used"]
    print("\nA client's set-up, phases with and without rewriting in turn\n")
    print(tabulate(rows, headers, tablefmt="github", disable_numparse=True))


def measure_set_ups(fleet: Fleet, servers: int, phase_s: float) -> dict[bool, SetUpCosts]:
    """Return the costs while nobody rewrites the file (False), and while somebody does (True)."""
    value = fleet_document(fleet, servers)
    costs = {False: SetUpCosts(), True: SetUpCosts()}
    with running_balancer(sealed_document(value)) as balancer:
        balancer.logged(UPDATE_DISPATCHED)
        assert balancer.process.stderr
        # A log that nobody reads stops its writer once the pipe is full.
        threading.Thread(target=balancer.process.stderr.read, daemon=True).start()
        for phase in range(SET_UP_PHASES):
            rewriting = phase % 2 == 1
            ended = FORK.Event()
            writer = FORK.Process(target=rewrite_until, args=(balancer.servers_file, value, ended))
            used_before_s = balancer.processor_s()
            if rewriting:
                writer.start()
            set_up_clients(balancer, phase, phase_s, costs[rewriting].durations)
            ended.set()
            if rewriting:
                writer.join()
                value["generation"] += GENERATION_GAP
            used_s = balancer.processor_s() - used_before_s
            costs[rewriting].core_share += used_s / (SET_UP_PHASES / 2 * phase_s)
    return costs


def fleet_document(fleet: Fleet, servers: int) -> JsonObject:
    """Return a document whose first servers are the fleet's and ready; all others are draining."""
    rows = json.loads(servers_document(servers, 1))["servers"]
    for row in rows:
        if row["id"] in fleet.addresses:
            row["address"] = fleet.addresses[row["id"]]
        else:
            row["state"] = "draining"
    return {"servers": rows, "generation": 1}


def set_up_clients(balancer: MeasuredBalancer, phase: int, duration_s: float, durations: Durations) -> None:
    """Have one client after another set up a connection and leave, for so long."""
    end_s = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        started_ns = time.monotonic_ns()
        client = balancer.open(phase * 100_000 + number, group=f"g{number}")
        assert client.line().startswith("UP")
        durations.record_since(started_ns)
        client.close()
        time.sleep(0.002)


def print_in_place(rewrites: int) -> None:
    """Print what becomes of a file that one writer rewrites in pieces, in place; a careless one rests."""
    rows = []
    for sealed in (True, False):
        rows.append(measure_in_place(rewrites, 0.0, sealed=sealed))
        rows.append(measure_in_place(CARELESS_REWRITES, CARELESS_PAUSE_S, sealed=sealed))
    headers = ["sealed", "rest in the middle s", "rewritings", "lists taken", "of them mixtures"]
    print("\nA writer in place (settle time 0.2 s); a mixture of two files is a wrong one\n")
    print(tabulate(rows, headers, "github"))


def measure_in_place(rewrites: int, pause_s: float, *, sealed: bool) -> list[object]:
    """One row: so many rewrites with a pause in the middle of each."""
    # All of one length, so that where two are mixed the mixture parses.
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
    """Return the digest of a document, which its seal is no part of."""
    return digest_of({key: value for key, value in json.loads(data).items() if key != "seal"})


def rewrite_in_pieces(path: Path, documents: list[bytes], pause_s: float) -> None:
    """Write each document over the last in two pieces, with a pause between them."""
    chance = random.Random(3)
    with open(path, "r+b", buffering=0) as file:
        for data in documents:
            file.seek(0)
            cut = chance.randint(1, len(data) - 1)
            file.write(data[:cut])
            if pause_s:
                time.sleep(pause_s)
            file.write(data[cut:])
            file.truncate(len(data))


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds, for a look")
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
