"""Compiles descriptions in a process of its own: `python -m wheatstile.descriptions.worker`.

The event loop of the balancer never waits for it, its memory is returned to the system, and the system bounds
its time and memory. It reads one request as JSON from standard input and writes one result as JSON to
standard output (`worker_protocol`).
"""

import resource
import sys
from pathlib import Path

from wheatstile.config.operator import OperatorFile
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.reader import class_policies, compile_paths
from wheatstile.descriptions.worker_protocol import (
    CompilationRejected,
    CompilationResult,
    CompilationSummary,
    CompileRequest,
    LearnedClass,
    encode_result,
)

MAX_CPU_TIME_S = 120
MAX_MEMORY_BYTES = 2 << 30
MAX_REASONS = 100  # that a result holds; also of warnings


def handle_request(request: CompileRequest) -> CompilationResult:
    """Compile what the request asks for: the classes as they hold, or the reasons for rejecting it."""
    operator = OperatorFile(Path(request.operator_path), request.settings)
    paths = [operator.near(path) for path in operator.settings.descriptions.paths]
    policies = class_policies(request.classes)
    try:
        compiled, source = compile_paths(paths, operator, policies, request.max_attempts)
    except InvalidDescriptionError as error:
        return CompilationRejected(reasons=error.lines()[:MAX_REASONS], reason_count=len(error.findings))
    except MemoryError:
        return CompilationRejected(reasons=[f"needs more than {MAX_MEMORY_BYTES >> 20} MB"], reason_count=1)
    return CompilationSummary(
        classes={
            name: LearnedClass(policy.idempotency, policy.deduplication_scope, policy.deduplication_window_us)
            for name, policy in compiled.classes.items()
        },
        route_count=len(compiled.routes),
        files=sorted(source.files),
        warnings=[str(warning) for warning in compiled.warnings[:MAX_REASONS]],
    )


def main() -> None:
    """Bound this process, then answer the request on standard input."""
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU_TIME_S, MAX_CPU_TIME_S))
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    request = CompileRequest.decode(sys.stdin.buffer.read())
    sys.stdout.buffer.write(encode_result(handle_request(request)))


if __name__ == "__main__":
    main()
