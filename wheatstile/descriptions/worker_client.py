"""Runs the worker that compiles descriptions: blocking at the start, awaited while the balancer serves."""

import asyncio
import subprocess
import sys
from contextlib import suppress

from wheatstile.config.operator import OperatorFile
from wheatstile.config.platform import Config
from wheatstile.descriptions.worker_protocol import (
    CompilationRejected,
    CompilationResult,
    CompileRequest,
    class_settings,
    decode_result,
)

WORKER_ARGUMENTS = ("-m", "wheatstile.descriptions.worker")
WORKER_TIMEOUT_S = 300.0


def build_request(operator: OperatorFile, config: Config) -> bytes:
    """Return the request for these files; equal bytes ask for the same compilation."""
    request = CompileRequest(
        operator_path=str(operator.path.absolute()),
        classes=class_settings(config),
        settings=operator.settings,
        max_attempts=config.settings.max_attempts,
    )
    return request.encode()


def compile_blocking(request: bytes, operator: OperatorFile) -> CompilationResult:
    """Compile in a worker and wait for it, for use before the event loop runs."""
    try:
        worker = subprocess.run(
            [sys.executable, *WORKER_ARGUMENTS],
            input=request,
            capture_output=True,
            timeout=WORKER_TIMEOUT_S,
            check=False,  # the exit status is part of the result
        )
    except subprocess.TimeoutExpired:
        return _timed_out(f"{operator.path}:1: /descriptions")
    return _result_of(worker.stdout, worker.returncode)


async def compile_in_worker(request: bytes) -> CompilationResult:
    """Compile in a worker while the event loop goes on. The worker is killed when this is cancelled."""
    worker = await asyncio.create_subprocess_exec(
        sys.executable,
        *WORKER_ARGUMENTS,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(WORKER_TIMEOUT_S):
            output, _ = await worker.communicate(request)
    except TimeoutError:
        return _timed_out("/descriptions")
    finally:
        await _end(worker)
    return _result_of(output, worker.returncode)


async def _end(worker: asyncio.subprocess.Process) -> None:
    """Kill the worker if it still runs, and wait for its end."""
    if worker.returncode is not None:
        return
    with suppress(ProcessLookupError):
        worker.kill()
    await worker.wait()


def _timed_out(origin: str) -> CompilationRejected:
    return CompilationRejected(reasons=[f"{origin}: took over {WORKER_TIMEOUT_S:g} s"])


def _result_of(output: bytes, status: int | None) -> CompilationResult:
    """Return what the worker wrote, or a rejection if it ended without a result."""
    try:
        return decode_result(output)
    except ValueError:
        reason = f"/descriptions: the worker ended with status {status}, out of its bounds or by a fault"
        return CompilationRejected(reasons=[reason])
