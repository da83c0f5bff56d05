"""The list that holds, out of what discovery tells and what the file says; told to the module as changes."""

import asyncio
from collections.abc import Mapping

import structlog

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot, ResolvedEndpoint
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers import merge
from wheatstile.resolvers.endpoint_file import EndpointFile
from wheatstile.resolvers.gc_pause import gc_paused
from wheatstile.resolvers.merge import DiscoveryState, MergedEndpoint, MergePolicy, SourceSelection

log = structlog.get_logger()

AT_ONCE = 2000  # servers that are merged on the loop, within a few milliseconds; more are in a thread
RACES = 3  # merges in a thread that discovery may overtake before one is made on the loop
PORTION = 1000  # addresses that the upstreams take between two turns of the loop


class EndpointMerger:
    """Discovery's observer where a file of servers is on. Owns the list that holds."""

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool, policy: MergePolicy) -> None:
        self.decisions, self.upstreams, self.policy = decisions, upstreams, policy
        self.discovery = DiscoveryState.at(decisions.now())
        self.file: Mapping[str, ResolvedEndpoint] = {}
        self.lines: dict[str, MergedEndpoint] = {}
        self.choice: SourceSelection | None = None
        self._version = 0  # of what the list is made of
        self._large: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def adopt(self) -> None:
        """Begin with what discovery alone has told so far."""
        known = self.decisions.balancer.servers
        for name, upstream in self.upstreams.by_name.items():
            if name in known:
                self.discovery.entries[name] = ResolvedEndpoint(known[name].endpoint, upstream.address)
                self.lines[name] = MergedEndpoint(self.discovery.entries[name], "discovery")

    def configure(self, policy: MergePolicy) -> None:
        """This policy holds from now on."""
        if policy != self.policy:
            self.policy, self.choice = policy, None
            self._changed()

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        named = {
            entry.name: ResolvedEndpoint(entry, result.addresses[entry.name]) for entry in result.endpoints
        }
        told = self.discovery.take(self.decisions.now(), named, kind)
        # Whatever else has to be worked out: nothing new goes where discovery says so, from this instant on.
        stopped = merge.stopped(self.lines, told)
        if stopped:
            for one in stopped:
                name = one.endpoint.name
                if one.address is None:
                    del self.lines[name]
                else:
                    self.lines[name] = MergedEndpoint(one, "discovery tells it to drain")
            self._tell(stopped)
        self._changed()

    def on_keepalive(self) -> None:
        self.discovery.heard(self.decisions.now())
        if self.choice and self.choice.source == "file":
            self._look()

    def on_failure(self) -> None:
        self.discovery.failed()

    def take_file(self, document: EndpointFile | None) -> None:
        """The file's list from now on; none: it has left."""
        self.file = document.servers if document else {}
        self._changed()

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
        if self._large:
            self._large.cancel()

    def leave(self) -> None:
        """Discovery alone holds from now on; what only the file named gets nothing new."""
        self.file = {}
        self.close()
        choice = SourceSelection("discovery", "the file is switched off")
        self._apply(choice, merge.merge(self.decisions.now(), choice, self.discovery, {}, self.lines))

    def _choose(self) -> SourceSelection:
        return merge.choose(self.decisions.now(), self.policy, self.discovery, bool(self.file), self.choice)

    def _look(self) -> None:
        """Whether another source holds by now, though none has changed."""
        choice = self._choose()
        if self.choice is None or choice.source != self.choice.source:
            self._changed()
        else:
            self.choice = choice
            self._look_again(choice)

    def _look_again(self, choice: SourceSelection) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if choice.look_at is not None:
            delay = max(0.001, (choice.look_at - self.decisions.now()) / 1e6 + 0.001)
            self._timer = self.decisions.loop.call_later(delay, self._look)

    def _changed(self) -> None:
        """Work the list out anew."""
        self._version += 1
        if len(self.discovery.entries) + len(self.file) <= AT_ONCE and not self._large:
            choice = self._choose()
            lines = merge.merge(self.decisions.now(), choice, self.discovery, self.file, self.lines)
            self._apply(choice, lines)
        elif not self._large:
            self._large = asyncio.create_task(self._merge_large())
            self._large.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._large = None
        if not task.cancelled() and (error := task.exception()):
            log.error("a merge failed", exc_info=error)

    async def _merge_large(self) -> None:
        """Merge in a thread, again where discovery or the file have changed in the meantime."""
        applied = -1
        while applied != self._version:
            for race in range(RACES + 1):
                version, choice, now = self._version, self._choose(), self.decisions.now()
                told = DiscoveryState(
                    self.discovery.started, dict(self.discovery.entries), dict(self.discovery.gone)
                )
                if race < RACES:
                    work = (now, choice, told, self.file, dict(self.lines))
                    lines = await asyncio.to_thread(merge.merge, *work)
                    delta = await asyncio.to_thread(merge.changes, work[4], lines)
                    # Addresses alone send nothing, so they may come in portions.
                    for start in range(0, len(delta), PORTION):
                        part = delta[start : start + PORTION]
                        self.upstreams.update([one for one in part if one.address], False)
                        await asyncio.sleep(0)
                    if version != self._version:
                        continue
                else:
                    lines, delta = merge.merge(now, choice, told, self.file, self.lines), None
                break
            applied = version
            self._apply(choice, lines, delta)

    def _apply(
        self,
        choice: SourceSelection,
        lines: dict[str, MergedEndpoint],
        delta: list[ResolvedEndpoint] | None = None,
    ) -> None:
        changes = merge.changes(self.lines, lines) if delta is None else delta
        before, self.choice, self.lines = self.choice, choice, lines
        if before is None or before.source != choice.source:
            self.decisions.counters[f"source {choice.source}"] += 1
            log.info(
                "the list's source",
                source=choice.source,
                reason=choice.reason,
                ready=len(merge.ready_of(lines)),
                changed=len(changes),
            )
        if changes:
            self._tell(changes, delta is None)
        self._look_again(choice)

    def _tell(self, changes: list[ResolvedEndpoint], addresses: bool = True) -> None:
        """One event for all that has changed: the module never sees a part of a list."""
        if addresses:
            self.upstreams.update([one for one in changes if one.address], False)
        with gc_paused():
            self.decisions.dispatch(
                api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [one.endpoint for one in changes])
            )
        gone = [one for one in changes if one.address is None]
        if gone:
            self.upstreams.update(gone, False)
        log.debug("the module was told", changed=len(changes), gone=len(gone))
