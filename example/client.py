"""One client of the example's balancer: opens a connection, sends a line, prints what comes back."""

import secrets
import socket

BALANCER_ADDRESS = ("127.0.0.1", 8080)
TIMEOUT_S = 10.0
LINE_END = "\r\n"


def open_line() -> str:
    """Return a connection's first line: the request's id, the client's name, class, deadline and group."""
    request_id = secrets.token_hex(8)
    group = secrets.token_hex(4)
    return f"OPEN {request_id} me c=chat,d=2000,g={group}"


def main() -> None:
    """Talk to the balancer of `make run` or `make demo`."""
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
