"""A balancer with an endpoint file, and echo servers that serve its clients."""

import itertools
import json
import time
from pathlib import Path
from typing import Any

from support.balancer import Balancer
from support.echo_servers import EchoServers
from support.peer import TIMEOUT_S, Peer
from wheatstile.resolvers.canonical_json import digest_of

ACCEPTED_EVENT = "endpoint_file_accepted"
SERVERS = ("s1", "s2", "s3")
CLIENT_DEADLINE_MS = 9000
DEFAULT_SECTION = {"file": "servers.json", "mode": "override", "settle_s": 0.05, "recheck_s": 0.3}


class ServedBalancer(Balancer):
    """A balancer with three echo servers. Its operator's file names an endpoint file.

    The constructor starts the echo servers and writes the operator's file. It does not start the balancer or
    write the endpoint file. `close` ends the balancer and the echo servers, and removes the files.

    Args:
        known: the servers that the platform's file lists.
        section: changes to DEFAULT_SECTION, the `servers` section of the operator's file.
    """

    def __init__(self, known: tuple[str, ...] = ("s1", "s2"), **section: object) -> None:
        super().__init__(settings={})
        self.known = known
        self.section = section
        self.echo_servers = EchoServers(SERVERS)
        base = Path(self.temporary_directory.name)
        self.endpoint_file = base / "servers.json"
        self.approval_file = base / "servers.json.accept"
        self.operator_file = base / "operator.json"
        self.state_directory = base / "state"
        self.state_directory.mkdir()
        self.arguments = ("serve", "--file", str(self.operator_file))
        self.write_operator()
        self._numbers = itertools.count(1)

    def close(self) -> None:
        """End the balancer and the echo servers, and remove the files."""
        super().close()
        self.echo_servers.close()

    def write_operator(self, **changes: object) -> None:
        """Write the operator's file with these changes to its section."""
        self.operator_file.write_text(json.dumps({"servers": DEFAULT_SECTION | self.section | changes}))

    def document(self, *names: str, generation: int = 1, seal: bool = True, **changes: object) -> bytes:
        """Return an endpoint file with these echo servers. The changes apply to every row."""
        rows = [
            {"id": name, "address": self.echo_servers.addresses[name], "site": "here"} | changes
            for name in names
        ]
        value: dict[str, Any] = {"servers": rows, "generation": generation}
        if seal:
            value["seal"] = digest_of(value)
        return json.dumps(value).encode()

    def discovered(self, name: str, **changes: object) -> dict[str, Any]:
        """Return an echo server in the format of discovery."""
        return self.member(name, host_port=self.echo_servers.addresses[name], **changes)

    def start_with_known_servers(self) -> None:
        """Start the balancer with the servers of `known`, and wait until it serves."""
        self.start([self.discovered(name) for name in self.known])

    def wait_until_accepted(self) -> dict[str, Any]:
        """Wait until an endpoint file is accepted, and return the log entry."""
        return self.wait_for_event(ACCEPTED_EVENT)

    def wait_for_generation(self, generation: int) -> None:
        """Wait until the endpoint file with this generation is accepted."""
        while self.wait_until_accepted()["generation"] != generation:
            pass

    def wait_for_source(self) -> str:
        """Wait until a source of endpoints is selected, and return its name."""
        source: str = self.wait_for_event("endpoint_source_selected")["source"]
        return source

    def open_client(self, group: str | None = None) -> Peer:
        """Send an OPEN line on a new connection, by default for a new affinity group."""
        number = next(self._numbers)
        return self.send_open(number, CLIENT_DEADLINE_MS, group=group or f"g{next(self._numbers)}")

    def reply_to_new_client(self) -> str:
        """Return the keyword of the reply to a new client, and close its connection."""
        client = self.open_client()
        try:
            keyword: str = client.line().partition(" ")[0]
            return keyword
        finally:
            client.close()

    def served_by(self, clients: int = 12) -> set[str]:
        """Open sessions, check that all are established, and return the names of their servers."""
        before = self.echo_servers.opened.copy()
        assert {self.reply_to_new_client() for _ in range(clients)} == {"UP"}
        return set(self.echo_servers.opened - before)

    def wait_until_served_by(self, names: set[str]) -> None:
        """Open six sessions at a time until their servers are exactly these."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while self.served_by(6) != names:
            assert time.monotonic() < deadline_s, f"the sessions do not go to {sorted(names)}"
