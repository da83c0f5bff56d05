"""Opens one session through the example's balancer, sends a line, and prints both replies."""

import secrets
import socket

BALANCER_ADDRESS = ("127.0.0.1", 8080)
TIMEOUT_S = 10.0
LINE_END = "\r\n"


def open_line() -> str:
    """Return the OPEN line: request id, key, class, timeout in ms, affinity group."""
    request_id = secrets.token_hex(8)
    group = secrets.token_hex(4)
    return f"OPEN {request_id} me c=chat,d=2000,g={group}"


def main() -> None:
    """Run one session against the balancer that `make run` or `make demo` started."""
    with (
        socket.create_connection(BALANCER_ADDRESS, timeout=TIMEOUT_S) as sock,
        sock.makefile("rw", newline=LINE_END) as stream,
    ):
        for line in (open_line(), "hello"):
            print(">", line)
            stream.write(line + "\n")
            stream.flush()
            print("<", stream.readline().strip())


if __name__ == "__main__":
    main()
