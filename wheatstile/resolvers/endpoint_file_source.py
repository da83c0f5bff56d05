"""Polls the endpoint file in a thread, and passes the results to the activator."""

import asyncio
import time
from contextlib import suppress

from wheatstile.config.operator import OperatorFile
from wheatstile.resolvers.endpoint_file import EndpointFileRules
from wheatstile.resolvers.endpoint_file_activator import EndpointFileActivator
from wheatstile.resolvers.endpoint_file_reader import EndpointFileReader, ReadOutcome, ReadResult
from wheatstile.resolvers.endpoint_merger import EndpointMerger
from wheatstile.resolvers.file_watcher import FileWatcher
from wheatstile.resolvers.gc_pause import gc_paused
from wheatstile.resolvers.worker_thread import WorkerThread

# Pause after a poll, as a multiple of the poll's duration. Polling then takes at most a quarter of the time,
# even if the file changes continuously.
POLL_PAUSE_FACTOR = 3


class EndpointFileSource:
    """Reads and watches one endpoint file. Owns the reader, the watcher, the thread and the activator.

    Args:
        operator: the operator's file; its `servers` section must configure an endpoint file.
        merger: receives each file that is activated.
        previous: the source that this one replaces. If it has the same path, its file stays active.

    """

    def __init__(
        self, operator: OperatorFile, merger: EndpointMerger, previous: "EndpointFileSource | None" = None
    ) -> None:
        settings = operator.settings.servers
        if not settings.file:
            raise ValueError(f"{operator.path}: servers.file is missing")
        self.path = operator.resolve_path(settings.file)
        self._settings = settings
        self._rules = EndpointFileRules.from_settings(settings)
        self._worker = WorkerThread("servers-file")
        self.activator: EndpointFileActivator = EndpointFileActivator(
            self.path, operator, self._rules, merger, self._worker
        )
        if previous and previous.path == self.path:
            self.activator.active_file = previous.activator.active_file

    async def run(self) -> None:
        """Read and watch the file until cancelled. Then stop the thread and close the reader's descriptor."""
        reader = EndpointFileReader(self.path, self._rules, self._settings.settle_s)
        watcher = FileWatcher(self.path, self._settings.recheck_s)
        with self._worker.running(last_call=reader.close):
            async with watcher.running():
                if self.activator.active_file is None:
                    await self.activator.restore()
                while True:
                    await self._poll(reader, watcher)

    async def _poll(self, reader: EndpointFileReader, watcher: FileWatcher) -> None:
        """Read the file, handle the result, and wait until the next poll is due."""
        watcher.changed.clear()
        started_s = time.monotonic()
        result = await self._worker.call(_poll_without_gc, reader)
        pause_s = POLL_PAUSE_FACTOR * (time.monotonic() - started_s)
        wait_s = await self._handle(result)
        if result.outcome is ReadOutcome.UNSETTLED:  # the file cannot settle before wait_s has passed
            await asyncio.sleep(max(wait_s, pause_s))
            return
        if result.outcome is not ReadOutcome.UNCHANGED:
            await asyncio.sleep(pause_s)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await watcher.changed.wait()

    async def _handle(self, result: ReadResult) -> float:
        """Pass the result to the activator. Return the maximum time until the next poll."""
        if result.outcome is ReadOutcome.UNSETTLED:
            return result.retry_after_s
        if result.endpoint_file:
            await self.activator.evaluate(result.endpoint_file)
            return 0.0
        if result.outcome is ReadOutcome.UNCHANGED:
            await self.activator.evaluate_pending()
        elif result.outcome is ReadOutcome.INVALID:
            self.activator.report_invalid(result.reasons)
        else:
            self.activator.report_unreadable(result.reasons)
        return self._settings.recheck_s


def _poll_without_gc(reader: EndpointFileReader) -> ReadResult:
    with gc_paused():
        return reader.poll()
