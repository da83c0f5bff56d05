"""Monitor of message latency, the time that servers take to answer lines of established sessions."""

import asyncio
from statistics import median

from wheatstile import interface as api
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_pool import UpstreamPool

REPORT_INTERVAL_S = 1.0  # the simulator uses the same interval
OBJECTIVE_DIVISOR = 3  # latency above 1/3 of the shortest latency objective is slow


class LatencyMonitor:
    """Reports the message latency of slow servers to the decision module, and once after they recover."""

    def __init__(self, upstreams: UpstreamPool, decision_loop: DecisionLoop) -> None:
        self._upstreams = upstreams
        self._decision_loop = decision_loop

    async def run(self) -> None:
        """Read the latency samples of all servers every REPORT_INTERVAL_S. Never returns."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now_us = self._decision_loop.now()
            for upstream in list(self._upstreams.by_name.values()):
                if self._upstreams.limits.reports_message_latency:
                    self._report(upstream, now_us)

    def _report(self, upstream: Upstream, now_us: int) -> None:
        """Dispatch the server's median latency, for one of its sessions, if the server is or was slow."""
        threshold_ms = self._upstreams.limits.message_latency_objective_ms / OBJECTIVE_DIVISOR
        samples_ms = upstream.latency_samples_ms + _unanswered_ms(upstream, now_us, threshold_ms)
        upstream.latency_samples_ms = []
        if not upstream.unanswered_since_us or not samples_ms:
            return
        latency_ms = median(samples_ms)
        if latency_ms > threshold_ms or upstream.is_slow:
            upstream.is_slow = latency_ms > threshold_ms
            session_id = next(iter(upstream.unanswered_since_us))
            self._decision_loop.dispatch(api.MessageLatencyChanged(session_id, upstream.name, latency_ms))


def _unanswered_ms(upstream: Upstream, now_us: int, threshold_ms: float) -> list[float]:
    """Return how long lines have been unanswered, in milliseconds, if longer than the threshold."""
    waits_ms = [(now_us - since_us) / 1000 for since_us in upstream.unanswered_since_us.values() if since_us]
    return [wait_ms for wait_ms in waits_ms if wait_ms > threshold_ms]
