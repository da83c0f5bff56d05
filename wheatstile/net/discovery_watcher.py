"""Watcher of discovery's endpoint list, and the interface of its observers."""

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
    """Applies endpoint lists from discovery, alone or merged with other sources."""

    def on_update(self, snapshot: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Handle a complete endpoint list, or changes to it."""

    def on_keepalive(self) -> None:
        """Handle a message without changes."""

    def on_failure(self) -> None:
        """Handle a failed watch. The watcher itself reports it to the decision module."""


class DiscoveryOnlyObserver:
    """Applies endpoint lists unchanged, for a balancer whose only endpoint source is discovery."""

    def __init__(self, decision_loop: DecisionLoop, upstreams: UpstreamPool) -> None:
        self.decision_loop = decision_loop
        self.upstreams = upstreams

    def on_update(self, snapshot: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Update the upstream pool, then the decision module."""
        self.upstreams.update(snapshot.members, kind is not api.EndpointUpdateKind.DELTA)
        self.decision_loop.dispatch(api.EndpointUpdate(kind, snapshot.endpoints))

    def on_keepalive(self) -> None:
        """Do nothing."""

    def on_failure(self) -> None:
        """Do nothing."""


class DiscoveryWatcher:
    """Watches discovery. Passes each list to the observer, and reports failures to the decision module."""

    def __init__(self, decision_loop: DecisionLoop, observer: EndpointObserver, address: Address) -> None:
        self.decision_loop = decision_loop
        self.observer = observer
        self.address = address
        self.revision = 0
        self._needs_complete_list = False  # set on a change of address, until the list is fetched
        self._is_failure_logged = False  # whether a failure was logged after the last message
        self._is_first_message = True  # whether the next message is the first one of the current watch
        self._watch: asyncio.Task[None] | None = None

    def on_update(self, snapshot: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Pass a list to the observer and store its revision.

        A complete list may lower the revision, since revisions may start again when discovery restarts.
        """
        self.revision = snapshot.revision if snapshot.complete else max(self.revision, snapshot.revision)
        self.observer.on_update(snapshot, kind)

    def watch(self) -> None:
        """Start a watch, unless one is running."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._run())

    def set_address(self, address: Address) -> None:
        """Switch to discovery at another address. Cancelling the old watch does not count as a failure.

        The current list stays in use until the new address sends one. Its revision is not valid there, and a
        watch from any revision may omit changes that the old address never sent. So the watcher fetches the
        complete list before it watches for changes.
        """
        if address == self.address:
            return
        self.close()
        self.address = address
        self._needs_complete_list = True
        self._watch = None
        self.decision_loop.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.MOVED))

    def close(self) -> None:
        """Cancel the watch."""
        if self._watch:
            self._watch.cancel()

    async def _run(self) -> None:
        """Run one watch until it fails and report the failure. The decision module requests the next one."""
        try:
            await self._fetch_and_watch()
        except (DiscoveryError, OSError, TimeoutError) as error:
            if not self._is_failure_logged:  # log once per outage
                log.warning("endpoint_watch_ended", reason=str(error) or type(error).__name__)
            self._is_failure_logged = True
        except Exception:
            log.exception("endpoint_watch_failed")
        self.decision_loop.counters["endpoint_watch_failures"] += 1
        self.observer.on_failure()
        self.decision_loop.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    async def _fetch_and_watch(self) -> None:
        if self._needs_complete_list:
            await self._receive(fetch_endpoints(self.address))
            self._needs_complete_list = False
        self._is_first_message = True
        await self._receive(watch_endpoints(self.address, self.revision))

    async def _receive(self, messages: AsyncGenerator[EndpointSnapshot | Keepalive, None]) -> None:
        async with aclosing(messages):
            async for message in messages:
                self._on_message(message)

    def _on_message(self, message: EndpointSnapshot | Keepalive) -> None:
        is_first_message = self._is_first_message
        self._is_first_message = False
        self._is_failure_logged = False
        if isinstance(message, EndpointSnapshot) and self._should_apply(message):
            kind = api.EndpointUpdateKind.FULL if message.complete else api.EndpointUpdateKind.DELTA
            self.on_update(message, kind)
            return
        if is_first_message:
            # An update without endpoints reports that the watch works, which resets the backoff.
            self.decision_loop.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA))
        self.observer.on_keepalive()

    def _should_apply(self, snapshot: EndpointSnapshot) -> bool:
        """Return whether to apply a list. Changes of an older revision would revert newer ones."""
        return snapshot.complete or snapshot.revision > self.revision
