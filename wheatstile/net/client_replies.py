"""Lines that the balancer itself sends to clients."""

ERROR_LINE = b"ERR\r\n"
MIGRATE_LINE = b"MOVE\r\n"


def rejection_line(retry_after_ms: int) -> bytes:
    """Return the line that rejects a client. With 0 or less it has no retry-after time."""
    return b"BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"BUSY\r\n"
