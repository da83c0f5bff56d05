"""What one decision costs, and what a balancer holds: `python benchmarks/decisions.py [--quick]`.

The module alone, with no socket: servers and open connections grow, and each figure is given as it stands to
the first row's in the same run, since machines differ and drift. A decision is a newcomer from its arrival to
its Send, probes answered; a report is one probe's answer; a list is a change of one server. Prints the tables
of docs/operators/large-fleets.md.
"""

import argparse
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from statistics import median

from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from support.balancer_harness import BalancerHarness  # noqa: E402

from wheatstile import interface as api  # noqa: E402

SERVERS, CONNECTIONS = (10, 90, 1_000), (100, 1_000, 10_000)


def seconds(work: Callable[[int], object], times: int) -> float:
    """The median time of one call."""
    taken = []
    for index in range(times):
        begin = time.perf_counter()
        work(index)
        taken.append(time.perf_counter() - begin)
    return median(taken)


def measured(servers: int, connections: int, times: int) -> tuple[float, float, float, float]:
    """Seconds for a decision, a report and a list's change; bytes that this balancer holds."""
    names = [f"s{number}" for number in range(servers)]
    tracemalloc.start()
    harness = BalancerHarness(*names, reports_message_latency=False)
    for index in range(connections):
        harness.connect(f"c{index}", names[index % servers], f"k{index}")
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def decide(index: int) -> None:
        harness.log.clear()
        harness.request(f"r{index}", key=f"r{index}", affinity_group=f"r{index}")
        assert any(isinstance(action, api.StartAttempt) for action in harness.log)
        harness.dispatch(api.ClientDisconnected(f"r{index}"))

    def report(index: int) -> None:
        server = names[index % servers]
        harness.balancer.servers[server].is_being_checked = True  # as if it had been asked
        harness.dispatch(api.HealthCheckResult(server, api.AttemptOutcome.OK, 1000, {"load": 0.4}))

    def change(index: int) -> None:
        state = (api.EndpointState.DRAINING, api.EndpointState.READY)[index % 2]
        harness.dispatch(
            api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint(names[0], state, "here")])
        )

    return seconds(decide, times), seconds(report, times), seconds(change, times), held


def table(rows: list[tuple[str, tuple[float, float, float, float]]]) -> str:
    first = rows[0][1]
    head = ["", "decision", "report", "list", "memory", "decision, us", "memory, KiB"]
    lines = []
    for name, row in rows:
        ratios = [f"{value / base:.1f}" for value, base in zip(row, first, strict=True)]
        lines.append([name, *ratios, f"{row[0] * 1e6:.0f}", f"{row[3] / 1024:.0f}"])
    return tabulate(lines, head, tablefmt="github", disable_numparse=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="fewer repetitions")
    times = 50 if parser.parse_args().quick else 400
    print(table([(f"{count:,} servers, 100 connections", measured(count, 100, times)) for count in SERVERS]))
    print()
    rows = [(f"60 servers, {count:,} connections", measured(60, count, times)) for count in CONNECTIONS]
    print(table(rows))


if __name__ == "__main__":
    main()
