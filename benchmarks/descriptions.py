"""Measures the cost of descriptions: `python benchmarks/descriptions.py [--quick]`.

Prints the tables of docs/descriptions.md:

- time and memory of a new process that reads and compiles descriptions;
- time to match one path, compared with a linear scan and with Werkzeug's router;
- response time of a running balancer while it compiles descriptions.
"""

import argparse
import os
import re
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from tabulate import tabulate
from werkzeug.routing import Map, MapAdapter, Rule

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "benchmarks")]

from running_balancer import MeasuredBalancer, PingLoop  # noqa: E402

from wheatstile.descriptions.route_matcher import RouteMatcher  # noqa: E402
from wheatstile.descriptions.routes import path_tokens, split_path  # noqa: E402

COMPILE_PROGRAM = (
    "import sys; from wheatstile.descriptions import reader; reader.compile_paths([sys.argv[1]])"
)
DESCRIPTIONS_APPLIED = "descriptions_applied"
MAX_CPU_TIME_S = 1800
MATCHED_PATHS = 97  # approximate number of paths to match, spread evenly over the routes
US_PER_S = 1e6
BYTES_PER_KB = 1024
KB_PER_MB = 1024
RESPONSES = (
    "{'200': {description: ok, content: {application/json: {schema: {$ref: '#/components/schemas/t'}}}}}"
)
PARAMETERS = "parameters: [{name: id, in: path, required: true, schema: {type: string}}]"

LOADING_SIZES = (10, 1_000, 10_000)
QUICK_LOADING_SIZES = (10, 1_000)
MATCHING_SIZES = (10, 1_000, 10_000)
MATCHING_COLUMNS = (
    "routes",
    "matcher us",
    "linear scan us",
    "Werkzeug us",
    "scan / matcher",
    "Werkzeug / matcher",
)


def path_template(number: int) -> str:
    """Return the path template of one operation."""
    return f"/area{number % 50}/thing{number}/{{id}}/part"


def write_description(path: Path, operations: int) -> None:
    """Write an OpenAPI description with this number of operations. Each operation refers to a schema."""
    lines = ["openapi: 3.1.0", "info: {title: big, version: '1'}", "paths:"]
    for number in range(operations):
        lines.append(f"  {path_template(number)}:")
        lines.append(
            f"    get: {{tags: [t{number % 7}], x-wheatstile-class: web, "
            f"{PARAMETERS}, responses: {RESPONSES}}}"
        )
    lines.append("components: {schemas: {t: {type: object, properties: {a: {type: string}}}}}")
    path.write_text("\n".join(lines))


def print_loading(directory: Path, sizes: Iterable[int]) -> None:
    """Print a table with the time and the memory to load descriptions of these sizes."""
    rows = [measure_loading(directory / f"{size}.yaml", size) for size in sizes]
    print("\nLoading, including the start of the interpreter\n")
    print(tabulate(rows, ["operations", "kB", "s", "peak MB"], "github"))


def measure_loading(path: Path, operations: int) -> list[object]:
    """Return one row with the cost to compile a description in a new process."""
    write_description(path, operations)
    started_s = time.monotonic()
    process = subprocess.Popen([sys.executable, "-c", COMPILE_PROGRAM, str(path)], cwd=ROOT)
    _, status, usage = os.wait4(process.pid, 0)
    duration_s = time.monotonic() - started_s
    assert status == 0
    return [
        operations,
        path.stat().st_size // BYTES_PER_KB,
        f"{duration_s:.2f}",
        usage.ru_maxrss // KB_PER_MB,
    ]


def mean_duration_us(function: Callable[[], object], duration_s: float) -> float:
    """Return the mean time of one call, in microseconds. The calls are repeated for about `duration_s`."""
    calls = 0
    started_s = time.perf_counter()
    while (elapsed_s := time.perf_counter() - started_s) < duration_s:
        function()
        calls += 1
    return elapsed_s / calls * US_PER_S


class Routers:
    """The same routes in `RouteMatcher`, in a list of regular expressions, and in Werkzeug's router."""

    def __init__(self, size: int) -> None:
        numbers = range(size)
        self._paths = [
            path_template(number).replace("{id}", "17")
            for number in range(0, size, max(1, size // MATCHED_PATHS))
        ]
        self._matcher: RouteMatcher[int] = RouteMatcher()
        for number in numbers:
            self._matcher.add(path_tokens(path_template(number)), number)
        self._patterns = [re.compile(path_template(number).replace("{id}", "[^/]+")) for number in numbers]
        rules = [Rule(path_template(number).replace("{id}", "<id>"), endpoint=number) for number in numbers]
        self._werkzeug: MapAdapter = Map(rules).bind("host")

    def measure_us(self, duration_s: float) -> list[float]:
        """Return the mean time of one match by `RouteMatcher`, linear scan and Werkzeug, in microseconds."""
        self._match_by_werkzeug()  # Werkzeug sorts its rules at the first match; this must not be measured
        functions = (self._match, self._scan, self._match_by_werkzeug)
        return [mean_duration_us(function, duration_s) / len(self._paths) for function in functions]

    def _match(self) -> None:
        for path in self._paths:
            assert self._matcher.matches(split_path(path))

    def _scan(self) -> None:
        for path in self._paths:
            assert any(pattern.fullmatch(path) for pattern in self._patterns)

    def _match_by_werkzeug(self) -> None:
        for path in self._paths:
            self._werkzeug.match(path)


def print_matching(duration_s: float) -> None:
    """Print a table with the time of one match for each number of routes."""
    rows = []
    for size in MATCHING_SIZES:
        matcher_us, scan_us, werkzeug_us = Routers(size).measure_us(duration_s)
        costs = [f"{cost_us:.1f}" for cost_us in (matcher_us, scan_us, werkzeug_us)]
        rows.append([size, *costs, f"{scan_us / matcher_us:.0f}", f"{werkzeug_us / matcher_us:.1f}"])
    print("\nOne match\n")
    print(tabulate(rows, MATCHING_COLUMNS, "github"))


def print_reload(operations: int, rounds: int) -> None:
    """Print a table with the latency of PING at an idle balancer, and while it compiles descriptions."""
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        description = Path(directory) / "api.yaml"
        write_description(description, operations)
        section = {"paths": [str(description)], "settle_s": 0.1}
        with MeasuredBalancer({"descriptions": section}) as balancer:
            balancer.wait_for_event(DESCRIPTIONS_APPLIED)
            idle_pings = PingLoop(balancer.listen)
            time.sleep(2.0 * rounds)
            rows.append(["idle", *idle_pings.stop().summary_ms()])
            pings = PingLoop(balancer.listen)
            for number in range(rounds):
                write_description(description, operations + number + 1)
                balancer.wait_for_event(DESCRIPTIONS_APPLIED)
            rows.append(["compiling", *pings.stop().summary_ms()])
    print(f"\nPING of a running balancer, {operations} operations compiled {rounds} times\n")
    print(tabulate(rows, ["", "p50 ms", "p99 ms", "max ms"], "github", disable_numparse=True))


def main() -> None:
    """Run the measurements and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer operations and shorter measurements")
    quick = parser.parse_args().quick
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU_TIME_S, MAX_CPU_TIME_S))
    with tempfile.TemporaryDirectory() as directory:
        print_loading(Path(directory), QUICK_LOADING_SIZES if quick else LOADING_SIZES)
    print_matching(0.5 if quick else 2.0)
    print_reload(100 if quick else 1000, 3 if quick else 5)


if __name__ == "__main__":
    main()
