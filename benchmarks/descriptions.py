"""What descriptions cost: `python benchmarks/descriptions.py [--quick]` prints docs/descriptions.md's tables.

Loading (read, checked, compiled, in a process of its own), matching against a linear scan and against
Werkzeug's router, and the longest stall of a running balancer's loop while operations are compiled anew.
"""

import argparse
import json
import os
import re
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from tabulate import tabulate
from werkzeug.routing import Map, Rule

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "benchmarks")]

from servers_file import Balancer, Pings, ms  # noqa: E402

from wheatstile.descriptions.route_matcher import Matcher  # noqa: E402
from wheatstile.descriptions.routes import path_tokens, split_path  # noqa: E402

WORKER = "import sys; from wheatstile.descriptions import reader; reader.compile_paths([sys.argv[1]])"


def template(number: int) -> str:
    return f"/area{number % 50}/thing{number}/{{id}}/part"


def write(path: Path, operations: int) -> None:
    """A description with this many operations, of which each refers to a schema."""
    answer = (
        "{'200': {description: ok, content: {application/json: {schema: {$ref: '#/components/schemas/t'}}}}}"
    )
    identity = "parameters: [{name: id, in: path, required: true, schema: {type: string}}]"
    lines = ["openapi: 3.1.0", "info: {title: big, version: '1'}", "paths:"]
    for number in range(operations):
        lines.append(f"  {template(number)}:")
        lines.append(
            f"    get: {{tags: [t{number % 7}], x-wheatstile-class: web, {identity}, responses: {answer}}}"
        )
    lines.append("components: {schemas: {t: {type: object, properties: {a: {type: string}}}}}")
    path.write_text("\n".join(lines))


def loading(folder: Path, sizes: list[int]) -> None:
    table = []
    for size in sizes:
        path = folder / f"{size}.yaml"
        write(path, size)
        begin = time.monotonic()
        done = subprocess.Popen([sys.executable, "-c", WORKER, str(path)], cwd=ROOT)
        _, status, usage = os.wait4(done.pid, 0)
        assert status == 0
        table.append(
            [size, path.stat().st_size // 1024, f"{time.monotonic() - begin:.2f}", usage.ru_maxrss // 1024]
        )
    print("\nLoading, the interpreter's start with it\n")
    print(tabulate(table, ["operations", "kB", "s", "peak MB"], "github"))


def microseconds(work: Callable[[], object], seconds: float) -> float:
    """Of one call, over about this time."""
    calls, begin = 0, time.perf_counter()
    while (passed := time.perf_counter() - begin) < seconds:
        work()
        calls += 1
    return passed / calls * 1e6


def matching(sizes: list[int], seconds: float) -> None:
    table = []
    for size in sizes:
        matcher: Matcher[int] = Matcher()
        scan, rules = [], []
        for number in range(size):
            matcher.add(path_tokens(template(number)), number)
            scan.append((re.compile(template(number).replace("{id}", "[^/]+")), number))
            rules.append(Rule(template(number).replace("{id}", "<id>"), endpoint=number))
        router = Map(rules).bind("host")
        paths = [template(number).replace("{id}", "17") for number in range(0, size, max(1, size // 97))]

        def ours(paths: list[str] = paths, matcher: Matcher[int] = matcher) -> None:
            for path in paths:
                assert matcher.matches(split_path(path))

        def linear(paths: list[str] = paths, scan: list[tuple[re.Pattern[str], int]] = scan) -> None:
            for path in paths:
                assert any(pattern.fullmatch(path) for pattern, _ in scan)

        def theirs(paths: list[str] = paths, router: object = router) -> None:
            for path in paths:
                router.match(path)  # type: ignore[attr-defined]

        theirs()  # it sorts its rules the first time
        costs = [microseconds(work, seconds) / len(paths) for work in (ours, linear, theirs)]
        table.append(
            [
                size,
                *(f"{cost:.1f}" for cost in costs),
                f"{costs[1] / costs[0]:.0f}",
                f"{costs[2] / costs[0]:.1f}",
            ]
        )
    heads = ["routes", "matcher us", "linear scan us", "Werkzeug us", "scan / matcher", "Werkzeug / matcher"]
    print("\nOne match\n")
    print(tabulate(table, heads, "github"))


def reload(operations: int, rounds: int) -> None:
    """PING while the running balancer has the descriptions compiled anew."""
    balancer = Balancer()
    balancer.setUp()
    folder = Path(balancer.folder.name)
    write(folder / "api.yaml", operations)
    (folder / "operator.json").write_text(
        json.dumps({"descriptions": {"paths": ["api.yaml"], "settle_s": 0.1}})
    )
    balancer.arguments = ("serve", "--file", str(folder / "operator.json"))
    balancer.start([])
    balancer.logged("descriptions_applied")
    found = []
    for changing in (False, True):
        pings = Pings(balancer.listen)
        pings.start()
        for number in range(rounds):
            if changing:
                write(folder / "api.yaml", operations + number + 1)
                balancer.logged("descriptions_applied")
            else:
                time.sleep(2.0)
        one = pings.stop()
        found.append(["compiling" if changing else "idle", *(ms(one, share) for share in (50, 99, 100))])
    print(f"\nPING of a running balancer, {operations} operations compiled anew {rounds} times\n")
    print(tabulate(found, ["", "p50 ms", "p99 ms", "max ms"], "github", disable_numparse=True))
    balancer.end()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="smaller, for a look")
    quick = parser.parse_args().quick
    resource.setrlimit(resource.RLIMIT_CPU, (1800, 1800))
    with tempfile.TemporaryDirectory() as folder:
        loading(Path(folder), [10, 1000] if quick else [10, 1000, 10_000])
    matching([10, 1000, 10_000], 0.5 if quick else 2.0)
    reload(100 if quick else 1000, 3 if quick else 5)


if __name__ == "__main__":
    main()
