"""Message latency: at which servers the answers to clients' lines take long."""

import asyncio
from statistics import median

from wheatstile import interface as api
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_pool import UpstreamPool

INTERVAL_S = 1.0  # the simulator's pace
OBJECTIVE_DIVISOR = 3  # an answer that takes longer than this part of the shortest latency objective is slow


class LatencyMonitor:
    """Tells the decision module at which servers messages take long, and once more when they no longer do."""

    def __init__(self, upstreams: UpstreamPool, decisions: DecisionLoop) -> None:
        self._upstreams = upstreams
        self._decisions = decisions

    async def run(self) -> None:
        """Read the samples of all servers at each interval, for ever."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            now_us = self._decisions.now()
            for upstream in list(self._upstreams.by_name.values()):
                if self._upstreams.limits.reports_message_latency:
                    self._report(upstream, now_us)

    def _report(self, upstream: Upstream, now_us: int) -> None:
        """Dispatch the median latency, for one session of the server, if it is slow or was before."""
        threshold_ms = self._upstreams.limits.message_latency_objective_ms / OBJECTIVE_DIVISOR
        waiting_ms = [
            (now_us - since_us) / 1000 for since_us in upstream.waiting_since_us.values() if since_us
        ]
        samples_ms = upstream.latency_samples_ms + [wait for wait in waiting_ms if wait > threshold_ms]
        upstream.latency_samples_ms = []
        if not upstream.waiting_since_us or not samples_ms:
            return
        latency_ms = median(samples_ms)
        if latency_ms > threshold_ms or upstream.is_slow:
            upstream.is_slow = latency_ms > threshold_ms
            session_id = next(iter(upstream.waiting_since_us))
            self._decisions.dispatch(api.MessageLatencyChanged(session_id, upstream.name, latency_ms))
