"""Runs the worker process that compiles descriptions, with a blocking and an asynchronous function."""

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
SECTION_POINTER = "/descriptions"  # JSON pointer in the operator's file


def build_request(operator: OperatorFile, config: Config) -> bytes:
    """Return the encoded request for these settings. Equal bytes mean equal requests."""
    request = CompileRequest(
        operator_path=str(operator.path.absolute()),
        classes=class_settings(config),
        settings=operator.settings,
        max_attempts=config.settings.max_attempts,
    )
    return request.encode()


def compile_blocking(request: bytes, operator: OperatorFile) -> CompilationResult:
    """Run a worker and block until it has ended. Must be called before the event loop runs."""
    try:
        worker = subprocess.run(
            [sys.executable, *WORKER_ARGUMENTS],
            input=request,
            capture_output=True,
            timeout=WORKER_TIMEOUT_S,
            check=False,  # `_decode_output` reports the exit status
        )
    except subprocess.TimeoutExpired:
        return _timeout_rejection(f"{operator.path}:1: {SECTION_POINTER}")
    return _decode_output(worker.stdout, worker.returncode)


async def compile_in_worker(request: bytes) -> CompilationResult:
    """Run a worker without blocking the event loop. The worker is killed if this task is cancelled."""
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
        return _timeout_rejection(SECTION_POINTER)
    finally:
        await _kill(worker)
    return _decode_output(output, worker.returncode)


async def _kill(worker: asyncio.subprocess.Process) -> None:
    """Kill the worker if it is still running, and wait until it has ended."""
    if worker.returncode is not None:
        return
    with suppress(ProcessLookupError):
        worker.kill()
    await worker.wait()


def _timeout_rejection(location: str) -> CompilationRejected:
    reason = f"{location}: the compilation took more than {WORKER_TIMEOUT_S:g} s and was stopped"
    return CompilationRejected(reasons=[reason])


def _decode_output(output: bytes, status: int | None) -> CompilationResult:
    """Return the result that the worker wrote, or a rejection if it ended without one."""
    try:
        return decode_result(output)
    except ValueError:
        reason = (
            f"{SECTION_POINTER}: the worker ended with exit status {status} and without a result: "
            "it exceeded its limit of CPU time or memory, or it failed"
        )
        return CompilationRejected(reasons=[reason])
