"""A proxy for the connections of one member: it delays bytes a little, cuts them at any place, and resets.

Arguments: LISTEN:TARGET ports. Standard input: `cut` closes all connections with RST and accepts no others,
`heal` ends that. A delay is at most a few milliseconds, and no byte is lost while a connection lives.
"""

from __future__ import annotations

import random
import socket
import struct
import sys
import threading
import time
from contextlib import suppress

HOST = "127.0.0.1"
GATHER_S = 0.002
MAX_SPLIT_S = 0.0006
RESET = struct.pack("ii", 1, 0)


class Links:
    """The open connections, and whether they are cut."""

    def __init__(self) -> None:
        self.is_cut = False
        self.open: set[socket.socket] = set()
        self.lock = threading.Lock()

    def add(self, *socks: socket.socket) -> bool:
        with self.lock:
            if not self.is_cut:
                self.open.update(socks)
            return not self.is_cut

    def cut(self) -> None:
        with self.lock:
            self.is_cut = True
            for sock in self.open:
                reset(sock)
            self.open.clear()

    def heal(self) -> None:
        with self.lock:
            self.is_cut = False


def reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def relay(source: socket.socket, sink: socket.socket) -> None:
    """Relay bytes until either side ends. The last byte of what has arrived follows a little later."""
    with suppress(OSError):
        while data := source.recv(1 << 20):
            time.sleep(GATHER_S)
            with suppress(BlockingIOError):
                data += source.recv(1 << 20, socket.MSG_DONTWAIT)
            sink.sendall(data[:-1])
            time.sleep(random.random() * MAX_SPLIT_S)
            sink.sendall(data[-1:])
    reset(source)
    reset(sink)


def accept(listener: socket.socket, target: int, links: Links) -> None:
    while True:
        source, _ = listener.accept()
        sink = socket.socket()
        try:
            sink.connect((HOST, target))
        except OSError:
            reset(source)
            continue
        for sock in (source, sink):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not links.add(source, sink):
            reset(source)
            reset(sink)
            continue
        for one, other in ((source, sink), (sink, source)):
            threading.Thread(target=relay, args=(one, other), daemon=True).start()


def main() -> None:
    links = Links()
    for pair in sys.argv[1:]:
        port, target = map(int, pair.split(":"))
        listener = socket.create_server((HOST, port))
        threading.Thread(target=accept, args=(listener, target, links), daemon=True).start()
    print("ready", flush=True)
    for line in sys.stdin:
        if line.strip() == "cut":
            links.cut()
        else:
            links.heal()


if __name__ == "__main__":
    main()
