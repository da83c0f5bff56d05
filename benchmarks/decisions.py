"""Measures the decision module without sockets: `python benchmarks/decisions.py [--quick]`.

Prints one table by the number of servers and one by the number of open connections. Each cost is given as a
ratio to the first row of the same run, since machines differ. The columns show the memory of the module and
the median time to handle

- decision: one request from its arrival to its `StartAttempt`, with the health checks of both candidates;
- report: the result of one health check;
- list: one endpoint update that changes one server.

docs/operators/large-fleets.md shows the tables.
"""

import argparse
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import astuple, dataclass
from pathlib import Path
from statistics import median

from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from support.balancer_harness import BalancerHarness  # noqa: E402

from wheatstile import interface as api  # noqa: E402

SERVER_COUNTS = (10, 90, 1_000)
FEW_CONNECTIONS = 100
CONNECTION_COUNTS = (100, 1_000, 10_000)
MEDIUM_SERVERS = 60
REPETITIONS = 400
QUICK_REPETITIONS = 50
COLUMNS = ("", "decision", "report", "list", "memory", "decision, us", "memory, KiB")


@dataclass(frozen=True, slots=True)
class Costs:
    """The median time to handle each kind of event, and the memory of the decision module."""

    decision_s: float
    report_s: float
    update_s: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table."""

    title: str
    costs: Costs


def median_duration_s(
    function: Callable[[int], object],
    repetitions: int,
    prepare: Callable[[int], object] = lambda _: None,
) -> float:
    """Return the median time of one call of `function`, in seconds.

    `prepare` is called before each call and is not measured. Both functions receive the number of the call.
    """
    durations_s = []
    for index in range(repetitions):
        prepare(index)
        started_s = time.perf_counter()
        function(index)
        durations_s.append(time.perf_counter() - started_s)
    return median(durations_s)


class Measurement:
    """Measures one decision module with these numbers of servers and open connections."""

    def __init__(self, server_count: int, connection_count: int) -> None:
        self._names = [f"s{number}" for number in range(server_count)]
        tracemalloc.start()
        self._harness = BalancerHarness(*self._names, reports_message_latency=False)
        for index in range(connection_count):
            self._harness.connect(f"c{index}", self._names[index % server_count], f"k{index}")
        self._memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()

    def measure_costs(self, repetitions: int) -> Costs:
        """Return the costs. Each time is the median of this number of repetitions."""
        return Costs(
            decision_s=median_duration_s(self._decide, repetitions),
            report_s=median_duration_s(self._report_load, repetitions, self._begin_check),
            update_s=median_duration_s(self._update_endpoint, repetitions),
            memory_bytes=self._memory_bytes,
        )

    def _decide(self, index: int) -> None:
        """Dispatch one request, check that an attempt was started, and disconnect the client."""
        request_id = f"r{index}"
        self._harness.actions.clear()
        self._harness.request(request_id, key=request_id, affinity_group=request_id)
        assert any(isinstance(action, api.StartAttempt) for action in self._harness.actions)
        self._harness.dispatch(api.ClientDisconnected(request_id))

    def _begin_check(self, index: int) -> None:
        """Start a health check, which `_report_load` answers."""
        balancer = self._harness.balancer
        server = balancer.endpoints.servers[self._names[index % len(self._names)]]
        balancer.health_checks.check(server, lambda _: None, next(iter(balancer.connections.established)))

    def _report_load(self, index: int) -> None:
        """Dispatch the result of one health check."""
        server = self._names[index % len(self._names)]
        self._harness.dispatch(api.HealthCheckResult(server, api.AttemptOutcome.OK, 1000, {"load": 0.4}))

    def _update_endpoint(self, index: int) -> None:
        """Dispatch an endpoint update that changes the state of one server."""
        state = (api.EndpointState.DRAINING, api.EndpointState.READY)[index % 2]
        endpoint = api.Endpoint(self._names[0], state, "here")
        self._harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [endpoint]))


def table(rows: Sequence[Row]) -> str:
    """Return the table: each cost as a ratio to that in the first row, then two costs as absolute values."""
    base = astuple(rows[0].costs)
    lines = []
    for row in rows:
        ratios = [cost / base_cost for cost, base_cost in zip(astuple(row.costs), base, strict=True)]
        decision_us = row.costs.decision_s * 1e6
        memory_kib = row.costs.memory_bytes / 1024
        lines.append(
            [row.title, *(f"{ratio:.1f}" for ratio in ratios), f"{decision_us:.0f}", f"{memory_kib:.0f}"]
        )
    return tabulate(lines, COLUMNS, tablefmt="github", disable_numparse=True)


def main() -> None:
    """Print one table by the number of servers and one by the number of connections."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="fewer repetitions")
    repetitions = QUICK_REPETITIONS if parser.parse_args().quick else REPETITIONS
    by_servers = [
        Row(
            f"{count:,} servers, 100 connections",
            Measurement(count, FEW_CONNECTIONS).measure_costs(repetitions),
        )
        for count in SERVER_COUNTS
    ]
    print(table(by_servers))
    print()
    by_connections = [
        Row(
            f"60 servers, {count:,} connections",
            Measurement(MEDIUM_SERVERS, count).measure_costs(repetitions),
        )
        for count in CONNECTION_COUNTS
    ]
    print(table(by_connections))


if __name__ == "__main__":
    main()
