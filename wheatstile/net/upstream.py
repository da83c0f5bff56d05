"""State of one server: its address, established sessions and message latency."""

from dataclasses import dataclass, field

MAX_LATENCY_SAMPLES = 1000  # limits memory for a server that sends many lines between two reports


@dataclass(eq=False, slots=True)
class Upstream:
    """One server of the endpoint list.

    Attributes:
        draining_or_gone: whether the latest endpoint update reports the server as draining or gone.
        unanswered_since_us: by the id of each established session, the time since which a line of its client
            has been unanswered, or 0 if none is.
        latency_samples_ms: the answer latencies since the latency monitor last read them.
        is_slow: whether the latency monitor last found the server slow.
    """

    name: str
    address: tuple[str, int]
    draining_or_gone: bool = False
    unanswered_since_us: dict[str, int] = field(default_factory=dict)
    latency_samples_ms: list[float] = field(default_factory=list)
    is_slow: bool = False

    def on_client_line(self, session_id: str, now_us: int) -> None:
        """Record that a line of the client is being sent to the server."""
        self.unanswered_since_us[session_id] = self.unanswered_since_us[session_id] or now_us

    def on_upstream_line(self, session_id: str, now_us: int) -> None:
        """Record that the server has sent a line, which answers all unanswered lines of the session."""
        if self.unanswered_since_us[session_id]:
            if len(self.latency_samples_ms) < MAX_LATENCY_SAMPLES:
                self.latency_samples_ms.append((now_us - self.unanswered_since_us[session_id]) / 1000)
            self.unanswered_since_us[session_id] = 0
