"""Compiles descriptions in a process of its own: `python -m wheatstile.descriptions.worker`.

The balancer's loop is never stopped by it, its memory is given back, and time and memory are bounded by the
system. A request comes as JSON on standard input, one answer goes as JSON to standard output.
"""

import json
import resource
import sys
from pathlib import Path
from typing import Any

import msgspec

from wheatstile.config.operator import Operator, OperatorFile
from wheatstile.descriptions.compile import ClassFacts
from wheatstile.descriptions.model import DescriptionError
from wheatstile.descriptions.reader import compile_paths

SECONDS, BYTES = 120, 2 << 30  # of processor time and of memory, at most
MOST_REASONS = 100


def answer(asked: dict[str, Any]) -> dict[str, Any]:
    """What came of one request: the classes as they hold, or the reasons for none."""
    operator = OperatorFile(Path(asked["operator"]), msgspec.convert(asked["settings"], Operator))
    facts = {name: ClassFacts(name, *values) for name, values in asked["classes"].items()}
    paths = [operator.near(path) for path in operator.settings.descriptions.paths]
    try:
        compiled, reading = compile_paths(paths, operator, facts, asked["max_attempts"])
    except DescriptionError as error:
        return {"refused": error.lines()[:MOST_REASONS], "faults": len(error.findings)}
    except MemoryError:
        return {"refused": [f"needs more than {BYTES >> 20} MB"], "faults": 1}
    return {
        "classes": {name: [one.repeat, one.scope, one.window] for name, one in compiled.classes.items()},
        "routes": len(compiled.routes),
        "read": sorted(reading.files),
        "warnings": [str(one) for one in compiled.warnings[:MOST_REASONS]],
    }


def main() -> None:
    resource.setrlimit(resource.RLIMIT_CPU, (SECONDS, SECONDS))
    resource.setrlimit(resource.RLIMIT_AS, (BYTES, BYTES))
    json.dump(answer(json.load(sys.stdin)), sys.stdout)


if __name__ == "__main__":
    main()
