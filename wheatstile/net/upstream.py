"""One server as this balancer sees it: its address, and the sessions that are established there."""

from dataclasses import dataclass, field

MAX_LATENCY_SAMPLES = 1000  # a chatty server may not fill the memory before the samples are read


@dataclass(eq=False, slots=True)
class Upstream:
    """One server: its latest address, its sessions, and how long it takes to answer their lines."""

    name: str
    address: tuple[str, int]
    leaving: bool = False  # it drains or is gone, by the latest endpoint update
    waiting_since_us: dict[str, int] = field(default_factory=dict)
    """The established sessions: since when a line of the client's has waited for an answer; 0: none waits."""
    latency_samples_ms: list[float] = field(default_factory=list)
    """How long each answer took, since the latency monitor read them last."""
    is_slow: bool = False  # the latency monitor found its answers slow the last time

    def on_client_line(self, session_id: str, now_us: int) -> None:
        """Take note that a client's line has gone out to the server."""
        self.waiting_since_us[session_id] = self.waiting_since_us[session_id] or now_us

    def on_upstream_line(self, session_id: str, now_us: int) -> None:
        """Take note that the server has sent a line, which answers whatever waited."""
        if self.waiting_since_us[session_id]:
            if len(self.latency_samples_ms) < MAX_LATENCY_SAMPLES:
                self.latency_samples_ms.append((now_us - self.waiting_since_us[session_id]) / 1000)
            self.waiting_since_us[session_id] = 0
