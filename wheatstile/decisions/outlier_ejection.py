"""Outlier ejection: a server that failed gets no new connections for some time."""

BASE_EJECTION_US = 1_000_000  # doubles with each consecutive failure
MAX_EJECTION_US = 8_000_000
MAX_EJECTION_DOUBLINGS = 4  # enough to reach MAX_EJECTION_US; keeps the shift small after many failures


class OutlierEjection:
    """Tracks the consecutive failures of one server, and the end of its ejection."""

    __slots__ = ("_consecutive_failures", "until_us")

    def __init__(self) -> None:
        self.until_us = 0  # end of the last ejection
        self._consecutive_failures = 0

    def is_active(self, now_us: int) -> bool:
        """Return whether the server is ejected now."""
        return self.until_us > now_us

    def record_failure(self, now_us: int) -> None:
        """Eject the server, for longer after each consecutive failure."""
        doublings = min(self._consecutive_failures, MAX_EJECTION_DOUBLINGS)
        self.until_us = now_us + min(BASE_EJECTION_US << doublings, MAX_EJECTION_US)
        self._consecutive_failures += 1

    def record_success(self) -> None:
        """Reset the count of consecutive failures. An ejection that has begun is not shortened."""
        self._consecutive_failures = 0
