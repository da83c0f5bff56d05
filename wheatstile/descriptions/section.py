"""Descriptions in the running balancer: compiled in a process apart, watched, taken whole or not at all."""

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import structlog

from wheatstile import interface as api
from wheatstile.config.operator import Descriptions, OperatorFile
from wheatstile.config.platform import Config
from wheatstile.descriptions.model import NARROWER, TIGHTER
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.resolvers.file_watcher import FileWatcher

log = structlog.get_logger()

WORKER = ("-m", "wheatstile.descriptions.worker")
PATIENCE = 300.0  # seconds that the worker may take
MOST_TOLD = 20  # reasons that a log line holds
MOST_FILES = 5000  # that are looked at for changes
Learnt = dict[str, tuple[str, str, int]]  # class -> repeat, scope, window


def tightened(settings: api.Settings, learnt: Mapping[str, tuple[str, str, int]]) -> api.Settings:
    """The settings with what was learnt; the tighter of the two holds for each class."""
    classes = dict(settings.classes)
    for name, (repeat, scope, window) in learnt.items():
        if name not in classes:
            continue
        one = classes[name]
        both = [one.deduplication_window_us] * (one.idempotency is api.Idempotency.IDEMPOTENCY_KEY)
        both += [window] * (repeat == api.Idempotency.IDEMPOTENCY_KEY)
        classes[name] = replace(
            one,
            idempotency=api.Idempotency(max(one.idempotency, repeat, key=lambda word: TIGHTER.get(word, 2))),
            deduplication_scope=api.DeduplicationScope(
                max(one.deduplication_scope, scope, key=lambda word: NARROWER.get(word, 2))
            ),
            deduplication_window_us=min(both, default=one.deduplication_window_us),
        )
    return replace(settings, classes=classes)


def request_of(operator: OperatorFile, config: Config) -> bytes:
    """What the worker is asked: the operator's word and the platform's classes as they stand."""
    deadlines = config.client_limits.deadlines_ms
    classes = {
        name: [
            one.idempotency,
            one.deduplication_scope,
            one.deduplication_window_us,
            deadlines.get(name, 0) * 1000,
        ]
        for name, one in config.settings.classes.items()
    }
    asked: dict[str, Any] = {"operator": str(operator.path.absolute()), "classes": classes}
    asked |= {
        "settings": msgspec.to_builtins(operator.settings),
        "max_attempts": config.settings.max_attempts,
    }
    return json.dumps(asked).encode()


def compile_first(operator: OperatorFile, config: Config) -> dict[str, Any]:
    """Compile before anybody is served: with no older ones in force, broken ones must not read as none."""
    paths = [operator.near(path) for path in operator.settings.descriptions.paths]
    before = standing(paths)
    try:
        done = subprocess.run(
            [sys.executable, *WORKER],
            input=request_of(operator, config),
            capture_output=True,
            timeout=PATIENCE,
        )
    except subprocess.TimeoutExpired:
        return {"refused": [f"{operator.path}:1: /descriptions: took over {PATIENCE:g} s"]}
    answer = _answer_of(done.stdout, done.returncode)
    return answer | {
        "standing": standing(paths, answer.get("read", ())) if before == standing(paths) else None
    }


def _answer_of(output: bytes, status: int | None) -> dict[str, Any]:
    with suppress(ValueError):
        found: dict[str, Any] = json.loads(output)
        return found
    return {
        "refused": [f"/descriptions: the worker ended with status {status}, out of its bounds or by a fault"]
    }


def learnt_of(answer: dict[str, Any]) -> Learnt:
    return {name: (repeat, scope, window) for name, (repeat, scope, window) in answer["classes"].items()}


class DescriptionsSection:
    """Owns the task that watches the descriptions, and what was learnt from them last."""

    def __init__(self, decisions: DecisionLoop, first: dict[str, Any] | None) -> None:
        self.decisions = decisions
        self.learnt: Learnt = learnt_of(first) if first else {}
        self._operator: OperatorFile
        self._config: Config
        self._task: asyncio.Task[None] | None = None
        self._asked: bytes = b""
        self._read: list[str] = first["read"] if first else []  # beside the paths, what they refer to
        self._done: object = first["standing"] if first else None  # the files when they were compiled last
        if first:
            told(first)

    def applied(self, settings: api.Settings) -> api.Settings:
        return tightened(settings, self.learnt)

    def follow(self, operator: OperatorFile, config: Config) -> None:
        """Do as the operator's file and the platform's say now."""
        asked = request_of(operator, config)
        if asked == self._asked:
            return
        first = not self._asked and self._done is not None
        self._asked, self._operator, self._config = asked, operator, config
        section = operator.settings.descriptions
        if self._task:
            self._task.cancel()
            self._task = None
        if section.paths:
            if not first:
                self._done = None
            self._task = asyncio.create_task(self._run(section))
        elif self.learnt:
            self.learnt = {}
            self.decisions.configure(config.settings)
            log.info("descriptions switched off")

    def close(self) -> None:
        if self._task:
            self._task.cancel()

    async def _run(self, section: Descriptions) -> None:
        paths = [self._operator.near(path) for path in section.paths]
        notices = [FileWatcher(path, section.recheck_s) for path in paths]
        tasks = [asyncio.create_task(one.run()) for one in notices]
        try:
            while True:
                for one in notices:
                    one.changed.clear()
                await self._look(paths, section)
                waits = [asyncio.create_task(one.changed.wait()) for one in notices]
                try:
                    await asyncio.wait(waits, timeout=section.recheck_s, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    for wait in waits:
                        wait.cancel()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    async def _look(self, paths: list[Path], section: Descriptions) -> None:
        """Compile what has changed, once it has stood still before and during that."""
        while True:
            before = await asyncio.to_thread(standing, paths, self._read)
            if before == self._done:
                return
            await asyncio.sleep(section.settle_s)
            if await asyncio.to_thread(standing, paths, self._read) != before:
                continue
            answer = await self._compile()
            if await asyncio.to_thread(standing, paths, self._read) != before:
                continue
            read = answer.get("read", self._read)
            if not set(read) <= {name for name, *_ in before}:
                self._read = (
                    read  # they refer to files that were not looked at: once more, looking at these too
                )
                continue
            self._done = before
            return self._take(answer)

    async def _compile(self) -> dict[str, Any]:
        worker = await asyncio.create_subprocess_exec(
            sys.executable, *WORKER, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            async with asyncio.timeout(PATIENCE):
                output, _ = await worker.communicate(self._asked)
        except TimeoutError:
            return {"refused": [f"/descriptions: took over {PATIENCE:g} s"]}
        finally:
            if worker.returncode is None:
                with suppress(ProcessLookupError):
                    worker.kill()
                await worker.wait()
        return _answer_of(output, worker.returncode)

    def _take(self, answer: dict[str, Any]) -> None:
        if "refused" in answer:
            self.decisions.counters["descriptions refused"] += 1
            reasons = answer["refused"]
            log.warning(
                "descriptions refused", reasons=reasons[:MOST_TOLD], faults=answer.get("faults", len(reasons))
            )
            return
        self.learnt = learnt_of(answer)
        self.decisions.configure(tightened(self._config.settings, self.learnt))
        told(answer)


def told(answer: dict[str, Any]) -> None:
    """Log what holds from now on."""
    log.info(
        "descriptions taken",
        files=len(answer["read"]),
        routes=answer["routes"],
        classes={name: values[0] for name, values in answer["classes"].items()},
        warnings=answer["warnings"][:MOST_TOLD],
    )


def standing(paths: Iterable[Path], also: Iterable[str] = ()) -> list[tuple[str, int, int, int]]:
    """Every file at these paths, with its inode, size and time of change in ns, but for what is missing."""
    files = {os.path.realpath(name) for name in also}
    for path in paths:
        files.add(os.path.realpath(path))
        for folder, _, names in os.walk(path):  # nothing, where it is a file
            files.update(os.path.realpath(os.path.join(folder, name)) for name in names)
    found = []
    for file in sorted(files)[:MOST_FILES]:
        with suppress(OSError):
            state = os.stat(file)
            found.append((file, state.st_ino, state.st_size, state.st_mtime_ns))
    return found
