"""Worker process that compiles descriptions: `python -m wheatstile.descriptions.worker`.

A separate process does not block the balancer's event loop, returns its memory to the system when it ends,
and has its own limits on CPU time and memory. It reads one request from standard input and writes one result
to standard output, both as JSON (`worker_protocol`).
"""

import resource
import sys
from pathlib import Path

from wheatstile.config.operator import OperatorFile
from wheatstile.descriptions.compile_types import ClassPolicy
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.reader import Compilation, class_policies, compile_paths
from wheatstile.descriptions.worker_protocol import (
    CompilationRejected,
    CompilationResult,
    CompilationSummary,
    CompiledClass,
    CompileRequest,
    encode_result,
)

MAX_CPU_TIME_S = 120
MAX_MEMORY_MB = 2048
BYTES_PER_MB = 1 << 20
MAX_REPORTED_FINDINGS = 100  # limit for the reasons or the warnings in one result


def handle_request(request: CompileRequest) -> CompilationResult:
    """Compile the descriptions in a request. Return a summary, or the reasons for the rejection."""
    operator = OperatorFile(Path(request.operator_path), request.settings)
    paths = [operator.resolve_path(path) for path in operator.settings.descriptions.paths]
    policies = class_policies(request.classes)
    try:
        compilation = compile_paths(paths, operator, policies, request.max_attempts)
    except InvalidDescriptionError as error:
        return CompilationRejected(
            reasons=error.lines()[:MAX_REPORTED_FINDINGS], reason_count=len(error.findings)
        )
    except MemoryError:
        return CompilationRejected(
            reasons=[f"the compilation needs more than {MAX_MEMORY_MB} MB of memory"], reason_count=1
        )
    return _summary(compilation)


def _summary(compilation: Compilation) -> CompilationSummary:
    descriptions = compilation.descriptions
    return CompilationSummary(
        classes={name: _compiled_class(policy) for name, policy in descriptions.classes.items()},
        route_count=len(descriptions.routes),
        files=sorted(compilation.description_set.files),
        warnings=[str(warning) for warning in descriptions.warnings[:MAX_REPORTED_FINDINGS]],
    )


def _compiled_class(policy: ClassPolicy) -> CompiledClass:
    return CompiledClass(policy.idempotency, policy.deduplication_scope, policy.deduplication_window_us)


def main() -> None:
    """Limit the CPU time and memory of this process, then handle the request on standard input."""
    max_memory_bytes = MAX_MEMORY_MB * BYTES_PER_MB
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU_TIME_S, MAX_CPU_TIME_S))
    resource.setrlimit(resource.RLIMIT_AS, (max_memory_bytes, max_memory_bytes))
    request = CompileRequest.decode(sys.stdin.buffer.read())
    sys.stdout.buffer.write(encode_result(handle_request(request)))


if __name__ == "__main__":
    main()
