"""One client of the example's balancer: opens a connection, says a line, prints what comes back."""

import secrets
import socket

ADDRESS = ("127.0.0.1", 8080)


def main() -> None:
    with socket.create_connection(ADDRESS, timeout=10) as sock, sock.makefile("rw", newline="\r\n") as lines:
        for line in (f"OPEN {secrets.token_hex(8)} me c=chat,d=2000,g={secrets.token_hex(4)}", "hello"):
            print(">", line)
            lines.write(line + "\n")
            lines.flush()
            print("<", lines.readline().strip())


if __name__ == "__main__":
    main()
