"""The watched file of servers in the running balancer: read in a thread, admitted, handed to the merge."""

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Any

import structlog

from wheatstile.config.operator import OperatorFile
from wheatstile.config.violations import ConfigurationError, load
from wheatstile.resolvers import last_known_good, merge, update_guard
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules
from wheatstile.resolvers.endpoint_file_reader import EndpointFileReader, ReadResult
from wheatstile.resolvers.endpoint_merger import EndpointMerger
from wheatstile.resolvers.file_watcher import FileWatcher
from wheatstile.resolvers.gc_pause import gc_paused
from wheatstile.resolvers.regular_file import read_all
from wheatstile.resolvers.update_guard import ActiveEndpoints, Evaluation, PendingApproval

log = structlog.get_logger()

REST = 3  # times the cost of a look that the reader rests after it: a file rewritten for ever gets a quarter
# of the time at most, and the clients the rest
MOST_TOLD = 20  # of a file's faults that a log line holds
SAME_AGAIN = 60.0  # seconds for which the same trouble with a file is not told again


def _look(reader: EndpointFileReader) -> ReadResult:
    with gc_paused():
        return reader.poll()


def approval_path(file: Path) -> Path:
    """Where `servers accept` names the digest of a held document, beside the file that holds it."""
    return file.with_name(f"{file.name}.accept")


class EndpointFileSource:
    """Owns the file's reader, its thread, its notices and its last good copy."""

    def __init__(self, operator: OperatorFile, combined: EndpointMerger) -> None:
        servers = operator.settings.servers
        assert servers.file
        self.settings, self.combined = servers, combined
        self.path = operator.near(servers.file)
        self.folder = operator.near(servers.state_dir) if servers.state_dir else None
        self.rules = EndpointFileRules.of(servers)
        self.document: EndpointFile | None = None  # in force for the file
        self._held: PendingApproval | None = None  # a newer generation may repeat it
        self._waiting: EndpointFile | None = None  # the file's content, if it is what is held
        self._thread: ThreadPoolExecutor
        self._told: tuple[tuple[str, ...], float] = ((), 0.0)

    async def _off_loop(self, work: Callable[..., Any], *arguments: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self._thread, work, *arguments)

    async def run(self) -> None:
        """Follow the file until cancelled. Gives back the thread and the descriptor at its end."""
        self._thread = ThreadPoolExecutor(1, "servers-file")
        reader = EndpointFileReader(self.path, self.rules, self.settings.settle_s)
        notices = FileWatcher(self.path, self.settings.recheck_s)
        noticing = asyncio.create_task(notices.run())
        try:
            if self.document is None:
                await self._restore()
            while True:
                notices.changed.clear()
                begin = time.monotonic()
                reading: ReadResult = await self._off_loop(_look, reader)
                cost = time.monotonic() - begin
                wait = await self._take(reading)
                if reading.outcome == "unsettled":  # what goes on meanwhile does not hurry it
                    await asyncio.sleep(max(wait, REST * cost))
                    continue
                if reading.outcome != "same":
                    await asyncio.sleep(REST * cost)
                with suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await notices.changed.wait()
        finally:
            noticing.cancel()
            await asyncio.wait([noticing])
            self._thread.submit(reader.close)
            self._thread.shutdown(wait=False)

    async def _restore(self) -> None:
        if self.folder is None:
            return
        try:
            kept = await self._off_loop(last_known_good.restore, self.folder, self.rules)
        except ConfigurationError as refused:
            log.warning("last good list passed over", reasons=refused.lines()[:MOST_TOLD])
            return
        except Exception as error:  # it is a file of our own: whatever it holds must not stop the balancer
            log.warning("last good list passed over", reasons=[repr(error)])
            return
        if kept:
            age = time.time() - kept.taken_at_ms / 1000
            self._hold(kept.document, "last good", age_s=round(age, 1), clock_went_back=age < 0)

    async def _take(self, reading: ReadResult) -> float:
        """Do as the reading says; the seconds until the next look, if nothing is noticed before."""
        if reading.outcome == "unsettled":
            return reading.wait
        if reading.outcome == "whole":
            assert reading.document
            await self._admit(reading.document)
            return 0.0
        if reading.outcome == "same":
            if self._waiting:
                await self._admit(self._waiting)
            return self.settings.recheck_s
        self._waiting = None  # the file no longer says what was held
        if reading.outcome == "refused":
            self._trouble("servers file refused", reading.reasons)
        else:
            self._trouble("servers file unreadable", reading.reasons)
        return self.settings.recheck_s

    async def _admit(self, document: EndpointFile) -> None:
        force = self._in_force()
        accepted: frozenset[str] = await self._off_loop(self._accepted) if self._held else frozenset()
        work = (document, force, self._held, accepted, self.rules)
        admission: Evaluation = await self._off_loop(update_guard.evaluate, *work)
        self._waiting = document if admission.outcome == "held" else None
        if admission.outcome == "taken":
            self._held = None
            self._hold(document, "file", reasons=admission.reasons)
            await self._keep(document)
        elif admission.outcome == "unchanged":
            self._held = None
        elif admission.outcome == "held":
            if self._held != admission.held:
                self._trouble("servers file held", admission.reasons, digest=document.digest)
            self._held = admission.held
        else:
            reasons = tuple(f"{self.path}:1: /: {reason}" for reason in admission.reasons)
            self._trouble("servers file refused", reasons, digest=document.digest)

    def _in_force(self) -> ActiveEndpoints:
        """What the next document is held against."""
        if self.document:
            return ActiveEndpoints.of(self.document)
        lines = self.combined.lines
        # In fallback and merge a first file takes nothing away: discovery's servers stay.
        ready = merge.ready_of(lines) if self.settings.mode == "override" else frozenset()
        return ActiveEndpoints(None, merge.sites_of(lines), ready)

    def _accepted(self) -> frozenset[str]:
        path = approval_path(self.path)
        if not path.exists():
            return frozenset()
        try:
            _, value = load(str(path), read_all(path, 4096), 4096)
        except ConfigurationError:
            return frozenset()
        return frozenset([value["digest"]]) if isinstance(value, dict) and "digest" in value else frozenset()

    def _hold(self, document: EndpointFile, origin: str, **more: Any) -> None:
        self.document, self._told = document, ((), 0.0)
        self.combined.decisions.counters[f"servers file taken, {origin}"] += 1
        log.info(
            "servers file taken",
            origin=origin,
            generation=document.generation,
            digest=document.digest,
            sealed=document.sealed,
            servers=len(document.servers),
            **{key: value for key, value in more.items() if value},
        )
        self.combined.take_file(document)

    async def _keep(self, document: EndpointFile) -> None:
        if self.folder is None:
            return
        try:
            await self._off_loop(last_known_good.save, self.folder, document, int(time.time() * 1000))
        except OSError as error:
            self.combined.decisions.counters["last good not written"] += 1
            log.error(
                "last good list not written", folder=str(self.folder), reason=error.strerror or str(error)
            )

    def _trouble(self, event: str, reasons: tuple[str, ...], **more: Any) -> None:
        """Log what is wrong with the file, once for as long as it stays the same."""
        self.combined.decisions.counters[event] += 1
        now = time.monotonic()
        if self._told[0] != (event, *reasons) or now - self._told[1] > SAME_AGAIN:
            self._told = ((event, *reasons), now)
            log.warning(event, reasons=list(reasons[:MOST_TOLD]), faults=len(reasons), **more)
