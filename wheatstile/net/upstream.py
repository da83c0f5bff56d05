"""One server as this balancer knows it: its address, and the sessions that are established there."""

from dataclasses import dataclass, field

MAX_LATENCY_SAMPLES = 1000  # bounds the memory for a server that sends many lines between two readings


@dataclass(eq=False, slots=True)
class Upstream:
    """One server: its current address, its established sessions, and its message latency.

    Attributes:
        leaving: whether the latest endpoint update reports the server as draining or gone.
        waiting_since_us: for the id of each established session, since when a line of its client has waited
            for an answer; 0: no line waits.
        latency_samples_ms: the latencies of the answers since the latency monitor last read them.
        is_slow: whether the latency monitor last found the server's answers slow.
    """

    name: str
    address: tuple[str, int]
    leaving: bool = False
    waiting_since_us: dict[str, int] = field(default_factory=dict)
    latency_samples_ms: list[float] = field(default_factory=list)
    is_slow: bool = False

    def on_client_line(self, session_id: str, now_us: int) -> None:
        """Record that a line of the client has been sent to the server."""
        self.waiting_since_us[session_id] = self.waiting_since_us[session_id] or now_us

    def on_upstream_line(self, session_id: str, now_us: int) -> None:
        """Record that the server has sent a line, which answers all waiting lines of the session."""
        if self.waiting_since_us[session_id]:
            if len(self.latency_samples_ms) < MAX_LATENCY_SAMPLES:
                self.latency_samples_ms.append((now_us - self.waiting_since_us[session_id]) / 1000)
            self.waiting_since_us[session_id] = 0
