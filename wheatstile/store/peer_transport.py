"""Sends and receives messages between members over TCP, with one connection for each direction of a pair."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping

import structlog

from wheatstile.store.errors import ProtocolError
from wheatstile.store.framing import FrameReader, connect, encode_frame
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.protocol import PeerHandshake
from wheatstile.store.raft.messages import Message, MessageKind

log = structlog.get_logger()

MAX_OUTBOX_MESSAGES = 256
"""Maximum number of messages queued for one peer. A full queue discards its oldest message; Raft
tolerates the loss.
"""
RECONNECT_DELAY_S = 0.1
"""Delay before the next attempt to connect to a peer."""
ADDRESS_KEY_PREFIX = "_members"
"""Prefix of the address keys `_members/NAME` of members added later. The value begins with the peer port."""


class PeerTransport:
    """Sends messages to peers and receives messages from them.

    `ports` maps the configured peers to their loopback ports. For other peers, the port is read from
    the address key by `read_key`, which returns the value of a key or None.
    """

    def __init__(
        self,
        config: MemberConfig,
        ports: Mapping[str, int],
        read_key: Callable[[str], bytes | None],
    ) -> None:
        self._config = config
        self._ports = ports
        self._read_key = read_key
        self._outboxes: dict[str, asyncio.Queue[Message]] = {}
        self._new_peers: asyncio.Queue[str] = asyncio.Queue()

    async def run(self) -> None:
        """Send queued messages until cancelled, with one task for each peer."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                peer = await self._new_peers.get()
                tasks.create_task(self._send_queued(peer))

    def send(self, message: Message) -> None:
        """Queue a message for its recipient."""
        peer = message.recipient
        if peer not in self._outboxes:
            self._outboxes[peer] = asyncio.Queue(MAX_OUTBOX_MESSAGES)
            self._new_peers.put_nowait(peer)
        outbox = self._outboxes[peer]
        if outbox.full():
            outbox.get_nowait()
        outbox.put_nowait(message)

    def _port_of(self, peer: str) -> int | None:
        if peer in self._ports:
            return self._ports[peer]
        fields = (self._read_key(f"{ADDRESS_KEY_PREFIX}/{peer}") or b"").split()
        return int(fields[0]) if fields and fields[0].isdigit() else None

    async def _send_queued(self, peer: str) -> None:
        """Connect to `peer` when a message is queued, send until the connection is lost, and repeat.

        A message is discarded if the port of `peer` is not known.
        """
        outbox = self._outboxes[peer]
        while True:
            message = await outbox.get()
            port = self._port_of(peer)
            if port is None:
                continue
            try:
                with await connect(port) as sock:
                    await self._send_on_connection(sock, peer, message)
            except OSError:  # messages that the peer has not read may be lost
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _send_on_connection(self, sock: socket.socket, peer: str, message: Message) -> None:
        """Send `message` and all later messages to the peer until an OSError."""
        loop = asyncio.get_running_loop()
        outbox = self._outboxes[peer]
        handshake = PeerHandshake(self._config.cluster, self._config.name, peer)
        await loop.sock_sendall(sock, encode_frame(handshake))
        while True:
            frames = [encode_frame(message)]
            while not outbox.empty():
                frames.append(encode_frame(outbox.get_nowait()))
            await loop.sock_sendall(sock, b"".join(frames))
            message = await outbox.get()

    async def receive(self, sock: socket.socket, on_message: Callable[[Message], None]) -> None:
        """Call `on_message` for each of a peer's messages until the connection ends.

        Raises `ProtocolError`, `msgspec.DecodeError`, OSError.
        """
        frames = FrameReader(sock)
        handshake = await frames.read(PeerHandshake)
        if handshake is None or not self._is_expected_handshake(handshake):
            return
        while (message := await frames.read(Message)) is not None:
            if (message.sender, message.recipient) != (handshake.name, self._config.name):
                route = f'from "{message.sender}" to "{message.recipient}"'
                raise ProtocolError(f'received a message {route} on a connection from "{handshake.name}"')
            if message.kind is MessageKind.SNAPSHOT and message.snapshot is None:
                raise ProtocolError("received a snapshot message without a snapshot")
            on_message(message)

    def _is_expected_handshake(self, handshake: PeerHandshake) -> bool:
        """Return whether the handshake names this cluster, and this member as the recipient."""
        if (handshake.cluster, handshake.recipient) == (self._config.cluster, self._config.name):
            return True
        log.warning(
            "store_peer_rejected",
            name=handshake.name,
            cluster=handshake.cluster,
            recipient=handshake.recipient,
        )
        return False
