"""What descriptions say, on real sockets: servers that reset once the last byte of an attempt has come."""

import json
import select
import signal
import time
from pathlib import Path

from peers import PATIENCE, Listener, NodeTest

from wheatstile.resolvers.atomic_write import write_atomic

CLASS = {"aimUs": 300000, "deadlineUs": 2000000, "repeat": "retryable"}
HEAD = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
RESPONSES = "responses: {default: {description: d}}"


def operation(path: str, method: str, name: str, more: str = "") -> str:
    return f"  /{path}: {{{method}: {{x-wheatstile-class: {name}, {more}{RESPONSES}}}}}\n"


KEYED = "x-wheatstile-repeat: keyed, x-wheatstile-window-s: 60, x-wheatstile-scope: zone, "
THREE = (
    operation("s", "get", "reads")
    + operation("u", "post", "writes")
    + operation("k", "post", "orders", KEYED)
)


class Obeyed(NodeTest):
    settings = {"classes": [CLASS | {"name": name} for name in ("reads", "writes", "orders")]}  # noqa: RUF012

    def setUp(self) -> None:
        super().setUp()
        self.here = Path(self.folder.name)
        (self.here / "api").mkdir()
        self.api, self.operator = self.here / "api" / "shop.yaml", self.here / "operator.json"
        self.write_operator(paths=["api"])
        self.arguments = ("serve", "--file", str(self.operator))
        self.other = Listener()
        self.ids = iter(range(1, 1000))

    def write_operator(self, paths: list[str]) -> None:
        section = {"paths": paths, "settle_s": 0.05, "recheck_s": 0.3}
        self.operator.write_text(json.dumps({"descriptions": section}))

    def describe(self, paths: str) -> None:
        write_atomic(self.api, (HEAD + paths).encode())

    def begin(self) -> None:
        """Twelve servers in each of two zones: one that resets is left alone for a while."""
        here = [self.member(f"here{number}") for number in range(12)]
        far = {"locality": "there", "host_port": self.other.address}
        self.start(here + [self.member(f"there{number}", **far) for number in range(12)])

    def attempts(self, name: str) -> tuple[list[str], str]:
        """The zones of the servers that one RPC was sent to, each resetting it, and its final answer."""
        client = self.client()
        client.send(f"OPEN {next(self.ids):016x} key c={name},d=2000,g=g{next(self.ids)}")
        zones: list[str] = []
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            places = {listener.sock: listener for listener in (self.server, self.other)}
            probes = {
                probe.sock: (listener, probe) for listener in places.values() for probe in listener.probes
            }
            for sock in select.select([client.sock, *places, *probes], [], [], PATIENCE)[0]:
                if sock is client.sock:
                    return zones, client.line().partition(" ")[0]
                if sock in probes:
                    listener, probe = probes[sock]
                    if probe.line():
                        probe.send("PONG x0=0.3")
                    else:
                        listener.probes.remove(probe)
                        probe.close()
                    continue
                peer = places[sock].accept()
                if peer.line() == "STATS":
                    peer.send("PONG x0=0.3")
                    places[sock].probes.append(peer)
                else:
                    zones.append("here" if sock is self.server.sock else "there")
                    peer.close(reset=True)
        raise AssertionError("no final answer came")

    def check(self) -> None:
        """Safe is tried again; unsafe gets one attempt and its answer at once; keyed stays in its zone."""
        zones, answer = self.attempts("reads")
        self.assertGreater(len(zones), 1)
        self.assertEqual(answer, "BUSY")
        begin = time.monotonic()
        zones, answer = self.attempts("writes")
        self.assertEqual((len(zones), answer), (1, "ERR"))
        self.assertLess(time.monotonic() - begin, 1.5)  # its client would wait for 2 s
        for _ in range(3):
            zones, answer = self.attempts("orders")
            self.assertEqual((len(set(zones)), answer), (1, "ERR"), zones)

    def test_each_class_is_tried_as_often_as_its_description_allows(self) -> None:
        self.describe(THREE)
        self.begin()
        self.assertEqual(
            self.logged("descriptions taken")["classes"],
            {"orders": "keyed", "reads": "safe", "writes": "unsafe"},
        )
        self.check()

    def test_changed_descriptions_are_taken_whole_or_not_at_all(self) -> None:
        self.describe(operation("s", "get", "reads"))
        self.begin()
        self.logged("descriptions taken")
        self.assertGreater(len(self.attempts("writes")[0]), 1)  # nothing is said of it yet
        self.describe(THREE)
        self.logged("descriptions taken")
        self.check()
        self.describe(THREE + operation("r", "get", "nobody"))
        self.assertIn(
            'the class "nobody" is not in the settings', self.logged("descriptions refused")["reasons"][0]
        )
        self.check()
        assert self.node
        self.node.send_signal(signal.SIGHUP)  # the platform's settings are read anew, and tightened again
        self.logged("config_reloaded")
        self.check()
        self.operator.write_text("{}")
        self.node.send_signal(signal.SIGHUP)
        self.logged("descriptions switched off")
        self.assertGreater(len(self.attempts("writes")[0]), 1)

    def test_a_change_in_what_a_description_refers_to_is_taken_too(self) -> None:
        self.write_operator(paths=["api/shop.yaml"])
        (self.here / "api" / "parts").mkdir()
        part = self.here / "api" / "parts" / "p.yaml"
        part.write_text(f"get: {{x-wheatstile-class: reads, {RESPONSES}}}\n")
        self.describe("  /s: {$ref: 'parts/p.yaml'}\n")
        self.begin()
        self.assertEqual(self.logged("descriptions taken")["classes"], {"reads": "safe"})
        write_atomic(part, f"post: {{x-wheatstile-class: reads, {RESPONSES}}}\n".encode())
        self.assertEqual(self.logged("descriptions taken")["classes"], {"reads": "unsafe"})

    def test_broken_descriptions_at_the_start_are_no_reason_to_serve_without(self) -> None:
        self.describe(operation("u", "post", "wrong"))
        self.path.write_text(json.dumps(self.config()))
        self.launch()
        assert self.node
        self.assertEqual(self.node.wait(PATIENCE), 1)
        self.assertIn('the class "wrong" is not in the settings', self.stop())
