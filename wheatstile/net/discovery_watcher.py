"""The watch on discovery's endpoint list, and whom it notifies."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

import structlog

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_client import Address, fetch_endpoints, watch_endpoints
from wheatstile.net.endpoint_stream import DiscoveryError, Keepalive
from wheatstile.net.upstream_pool import UpstreamPool

log = structlog.get_logger()


class EndpointObserver(Protocol):
    """Whom discovery notifies: alone, or merged with other sources, it makes the list to decide by."""

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Handle a list, or changes to one."""

    def on_keepalive(self) -> None:
        """Nothing has changed."""

    def on_failure(self) -> None:
        """Handle the end of a call; the decisions are notified apart from this."""


class DiscoveryOnlyObserver:
    """The observer without other sources: discovery's list is the list."""

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool) -> None:
        self.decisions = decisions
        self.upstreams = upstreams

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Apply it to the upstreams, then to the decisions."""
        self.upstreams.update(result.members, kind is not api.EndpointUpdateKind.DELTA)
        self.decisions.dispatch(api.EndpointUpdate(kind, result.endpoints))

    def on_keepalive(self) -> None:
        """Nothing to do."""

    def on_failure(self) -> None:
        """Nothing to do."""


class DiscoveryWatcher:
    """Owns the watch. Each list goes to the observer, each failure to the decisions as one event."""

    def __init__(self, decisions: DecisionLoop, observer: EndpointObserver, address: Address) -> None:
        self.decisions = decisions
        self.observer = observer
        self.address = address
        self.revision = 0
        self._is_revision_foreign = False  # it is another discovery's
        self._is_failure_logged = False  # calls fail, and it has been logged
        self._is_first_message = True  # nothing has come on this watch yet
        self._watch: asyncio.Task[None] | None = None

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Pass a list on, and remember its revision."""
        # A complete list replaces all that stood, and so does its revision: a discovery may count anew.
        self.revision = result.revision if result.complete else max(self.revision, result.revision)
        self.observer.on_update(result, kind)

    def watch(self) -> None:
        """Watch for changes from now on. A watch that stands does so already, and no second one is opened."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._run())

    def follow(self, address: Address) -> None:
        """Discovery is at another address from now on. The end of the old watch is no failure.

        The list stands meanwhile. Its revision says nothing there, and changes since any other may leave out
        what the old discovery never sent: so the complete list is fetched before its changes.
        """
        if address == self.address:
            return
        self.close()
        self.address = address
        self._is_revision_foreign = True
        self._watch = None
        self.decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.MOVED))

    def close(self) -> None:
        """End the watch."""
        if self._watch:
            self._watch.cancel()

    async def _run(self) -> None:
        """One watch to its end, which is one failure; when to watch again is decided elsewhere."""
        try:
            await self._fetch_and_watch()
        except (DiscoveryError, OSError, TimeoutError) as error:
            if not self._is_failure_logged:  # discovery may be out of reach for long, and balancers are many
                log.warning("endpoint_watch_ended", reason=str(error) or type(error).__name__)
            self._is_failure_logged = True
        except Exception:
            log.exception("endpoint_watch_failed")
        self.decisions.counters["endpoint_watch_failures"] += 1
        self.observer.on_failure()
        self.decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    async def _fetch_and_watch(self) -> None:
        if self._is_revision_foreign:
            await self._receive(fetch_endpoints(self.address))
            self._is_revision_foreign = False
        self._is_first_message = True
        await self._receive(watch_endpoints(self.address, self.revision))

    async def _receive(self, messages: AsyncGenerator[EndpointSnapshot | Keepalive, None]) -> None:
        async with aclosing(messages):
            async for message in messages:
                self._on_message(message)

    def _on_message(self, message: EndpointSnapshot | Keepalive) -> None:
        snapshot = message if isinstance(message, EndpointSnapshot) and self._is_news(message) else None
        self._is_failure_logged = False
        if (
            self._is_first_message
        ):  # the watch stands, also where nothing has changed: its back-off starts anew
            self._is_first_message = False
            if snapshot is None:
                self.decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA))
        if snapshot is None:
            self.observer.on_keepalive()
        elif snapshot.complete:
            self.on_update(snapshot, api.EndpointUpdateKind.FULL)
        else:
            self.on_update(snapshot, api.EndpointUpdateKind.DELTA)

    def _is_news(self, snapshot: EndpointSnapshot) -> bool:
        """Tell news from changes before the list that stands, which would undo what is known by now."""
        return snapshot.complete or snapshot.revision > self.revision
