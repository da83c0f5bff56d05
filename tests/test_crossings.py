"""Events that cross: each pair is forced by its order, on loopback sockets. The list: docs/crossings.md.

The program is stopped (SIGSTOP) while its peers do what is to meet in one turn of its loop: the kernel keeps
the order, and takes connections in, until the program goes on.
"""

import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from peers import PATIENCE, ROOT, SETTINGS, Listener, NodeTest, Peer

from wheatstile.config.platform import UpstreamLimits

LIMITS: dict[str, Any] = SETTINGS["limits"]
# The module sends at once, and looks at no server.
UNPROBED = {"familyInfo": {}, "limits": LIMITS | {"mayProbe": False, "dialTimeoutUs": 8_000_000}}
# A probe may be out for as long as the test holds it.
PATIENT = {"familyInfo": SETTINGS["familyInfo"] | {"messageAimUs": [PATIENCE * 1e6]}}
SYN_SENT = "02"  # in /proc/net/tcp


def wait_for(what: str, *states: str) -> None:
    """Until the state in this process's /proc entry is one of these."""
    end = time.monotonic() + PATIENCE
    while Path(what).read_text().rpartition(")")[2].split()[0] not in states:
        assert time.monotonic() < end, what
        time.sleep(0.002)


class CrossingTest(NodeTest):
    @contextmanager
    def stopped(self) -> Iterator[None]:
        """The program stands still inside; all that happened meanwhile meets it at once after."""
        assert self.node
        self.node.send_signal(signal.SIGSTOP)
        wait_for(f"/proc/{self.node.pid}/stat", "T")
        yield
        self.node.send_signal(signal.SIGCONT)

    def counters(self) -> dict[str, int]:
        assert self.node
        self.node.send_signal(signal.SIGUSR1)
        return self.logged("counters_reported")

    def until(self, counter: str, least: int) -> dict[str, int]:
        end = time.monotonic() + PATIENCE
        while (counters := self.counters()).get(counter, 0) < least:
            self.assertLess(time.monotonic(), end, f"{counter}: {counters}")
        return counters

    def goes_on(self, number: int) -> dict[str, int]:
        """The next connection that a server gets is this new client's, and nothing has failed inside."""
        self.up(number)
        counters = self.counters()
        self.assertNotIn("channel failures", counters)
        self.assertNotIn("decision_module_failures", counters)
        return counters

    def fill(self, listener: Listener) -> list[socket.socket]:
        """Fill a server's queue: the next connection to it stays on its way until these are taken."""
        listener.sock.listen(0)
        ahead = []
        while True:
            ahead.append(socket.socket())
            ahead[-1].settimeout(0.3)
            try:
                ahead[-1].connect(listener.sock.getsockname())
            except TimeoutError:
                ahead.pop().close()
                return ahead

    def connecting(self, listener: Listener) -> None:
        """Until a connection of the program's to this server is on its way."""
        wanted = f":{listener.sock.getsockname()[1]:04X}"
        end = time.monotonic() + PATIENCE
        while not any(
            line.split()[2].endswith(wanted) and line.split()[3] == SYN_SENT
            for line in Path("/proc/net/tcp").read_text().splitlines()[1:]
        ):
            self.assertLess(time.monotonic(), end, "no connection was begun")
            time.sleep(0.002)

    def let_in(self, listener: Listener, ahead: list[socket.socket]) -> Peer:
        """Empty the queue; the connection that was on its way, once it is up."""
        own = {sock.getsockname() for sock in ahead}
        while True:
            peer = listener.accept()
            if peer.sock.getpeername() not in own:
                return peer


class ClientsThatLeave(CrossingTest):
    settings = UNPROBED

    def leaves(self, how: str) -> Iterator[bool]:
        for reset in (False, True):
            with self.subTest(how, reset=reset):
                yield reset

    def test_one_that_left_while_it_stood_in_the_backlog_is_not_sent_on(self) -> None:
        self.start()
        for number, reset in enumerate(self.leaves("in the backlog"), 1):
            with self.stopped():
                self.open(number).close(reset)
            self.goes_on(number + 10)

    def test_one_that_sent_more_and_left_is_not_sent_on(self) -> None:
        self.start()
        with self.stopped():
            client = self.open(1)
            client.send("and more")
            client.close()
        self.goes_on(2)

    def test_one_that_left_while_its_attempt_was_connecting_is_not_sent_on(self) -> None:
        self.start()
        for number, reset in enumerate(self.leaves("connecting"), 1):
            ahead = self.fill(self.server)
            client = self.open(number)
            self.connecting(self.server)
            with self.stopped():
                server = self.let_in(self.server, ahead)  # first it comes up, then the client leaves
                client.close(reset)
            self.assertEqual(server.line(), "")
            self.server.sock.listen(100)
            self.goes_on(number + 10)

    def test_one_that_left_between_two_attempts_is_not_sent_on(self) -> None:
        self.start()
        for number, reset in enumerate(self.leaves("between attempts"), 1):
            client = self.open(number)
            server, _ = self.server.rpc()
            with self.stopped():
                server.send("ERR")
                client.close(reset)
            self.assertEqual(server.line(), "")
            self.goes_on(number + 10)

    def test_up_beside_the_clients_end_ends_the_server_side_too(self) -> None:
        self.start()
        for number, reset in enumerate(self.leaves("up"), 1):
            client = self.open(number)
            server, _ = self.server.rpc()
            with self.stopped():
                server.send("UP r")
                client.close(reset)
            try:
                self.assertEqual(server.line(), "")
            except ConnectionResetError:
                self.assertTrue(reset)
            self.goes_on(number + 10)

    def test_both_ends_at_once(self) -> None:
        self.start()
        for number, reset in enumerate(self.leaves("both"), 1):
            client, server = self.up(number)
            with self.stopped():
                server.close(reset)
                client.close(reset)
            self.goes_on(number + 10)

    def test_a_client_that_ends_while_its_last_line_goes_out(self) -> None:
        self.start([])
        for number, reset in enumerate(self.leaves("finish"), 1):
            client = self.open(number, wait=200)
            self.assertRegex(client.line(), "^BUSY")
            client.close(reset)
        self.assertEqual(self.until("unavailable", 2).get("channel failures"), None)


class HeldByTheModule(CrossingTest):
    settings = PATIENT

    def test_one_that_left_while_its_probe_was_out_is_not_sent_on(self) -> None:
        self.start()
        self.up(1)  # and so a probe's connection is there
        client = self.open(2)
        probe = self.server.probes[0]
        self.assertEqual(probe.line(), "STATS")
        with self.stopped():
            probe.send("PONG x0=0.3")  # first the answer that sends it on, then its end
            client.close()
        self.assertEqual(self.goes_on(3)["attempt up"], 2)

    def test_a_class_that_a_reload_takes_away_from_a_held_request(self) -> None:
        self.start()
        self.up(1)
        client = self.open(2)
        probe = self.server.probes[0]
        self.assertEqual(probe.line(), "STATS")
        self.reload(settings=SETTINGS | {"classes": [SETTINGS["classes"][0] | {"name": "other"}]})
        probe.send("PONG x0=0.3")
        server, line = self.server.rpc()
        self.assertIn("c=web", line)
        server.send("UP r")
        self.assertEqual(client.line(), "UP r")

    def test_a_server_that_leaves_while_its_probe_is_out_holds_nobody(self) -> None:
        self.start()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        self.up(1)
        client = self.open(2)
        self.assertEqual(self.server.probes[0].line(), "STATS")  # and no answer
        other = Listener()
        watch.chunk(2, self.member("s2", host_port=other.address), complete=True)
        server, line = other.rpc()
        self.assertIn("0000000000000002", line)
        server.send("UP r")
        self.assertEqual(client.line(), "UP r")


class Drains(CrossingTest):
    settings = UNPROBED

    def test_a_drain_told_while_an_attempt_connects_keeps_its_first_line_back(self) -> None:
        """Whatever grace the settings give: what is not begun when the drain is told is not begun at all."""
        for grace in (250_000, 2_500_000):
            with self.subTest(grace=grace):
                self.setUp()
                rules = SETTINGS["rules"] | {"drainGraceUs": grace}
                self.settings = UNPROBED | {"rules": rules}
                other = Listener()
                ahead = self.fill(self.server)
                self.start()
                watch, _ = self.discovery.watch()
                watch.begin_watch()
                client = self.open()
                self.connecting(self.server)
                watch.chunk(2, self.member(phase="draining"), self.member("s2", host_port=other.address))
                self.until("events_endpoint_update", 2)
                server = self.let_in(self.server, ahead)
                self.assertEqual(server.line(), "")
                second, line = other.rpc()
                self.assertIn("0000000000000001", line)
                second.send("UP r")
                self.assertEqual(client.line(), "UP r")
                self.stop()

    def test_a_server_that_is_gone_while_an_attempt_connects_gets_no_first_line(self) -> None:
        other = Listener()
        ahead = self.fill(self.server)
        self.start()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        _client = self.open()
        self.connecting(self.server)
        watch.chunk(2, self.member("s2", host_port=other.address), complete=True)
        self.until("events_endpoint_update", 2)
        self.assertEqual(self.let_in(self.server, ahead).line(), "")
        self.assertIn("0000000000000001", other.rpc()[1])


class HandOvers(CrossingTest):
    settings = UNPROBED

    def test_no_move_follows_the_servers_bye_or_its_own_move(self) -> None:
        for word in ("BYE", "MOVE"):
            with self.subTest(word):
                self.setUp()
                self.start()
                client, server = self.up()
                server.send(word)  # and its end does not come
                self.assertEqual(client.line(), word)
                self.terminate()
                self.assertEqual(client.line(), "")
                self.stop()

    def test_a_move_beside_the_clients_end(self) -> None:
        self.start()
        client, server = self.up()
        self.terminate()
        self.logged("shutdown_started")
        with self.stopped():
            client.close()
            time.sleep(3.2)  # until all are to be moved
        self.assertEqual(server.line(), "")
        assert self.node
        self.assertEqual(self.node.wait(PATIENCE), 0)

    def test_up_beside_the_end_of_the_balancer_is_one_answer_and_a_move(self) -> None:
        self.start()
        client = self.open()
        server, _ = self.server.rpc()
        self.terminate()
        self.logged("shutdown_started")
        with self.stopped():
            server.send("UP r")
            time.sleep(3.2)  # until whoever is not up is answered
        lines = [client.line(), client.line(), client.line()]
        self.assertIn(lines[0].split()[0], ("UP", "BUSY"))
        self.assertEqual(lines[1:], ["MOVE", ""] if lines[0] == "UP r" else ["", ""])


class Probes(CrossingTest):
    settings = PATIENT

    def settled(self) -> Peer:
        """A probe's connection that has served, and a second client that waits for what it tells."""
        self.start()
        self.up(1)
        self.client_2 = self.open(2)
        probe = self.server.probes.pop()
        self.assertEqual(probe.line(), "STATS")
        return probe

    def served(self) -> dict[str, int]:
        server, line = self.server.rpc()
        self.assertIn("0000000000000002", line)
        server.send("UP r")
        self.assertEqual(self.client_2.line(), "UP r")
        return self.counters()

    def test_an_idle_connection_that_ends_as_a_probe_goes_out_is_no_failure(self) -> None:
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.setUp()
                self.settled().close(reset)  # as if it had been closed before the probe came
                counters = self.served()
                self.assertEqual(counters.get("probe repeated"), 1)
                self.assertNotIn("probe reset", counters)
                self.stop()

    def test_a_probes_time_is_twice_the_shortest_aim_of_the_settings(self) -> None:
        for aim, seconds in ((50.0, 0.1), (100.0, 0.2), (0.0, 0.25)):
            self.assertEqual(UpstreamLimits(0.25, 15.0, True, aim, 100).health_check_timeout_s, seconds)

    def test_a_new_connection_that_ends_as_a_probe_goes_out_is_a_failure(self) -> None:
        self.settled().close()
        again = self.server.accept()
        self.assertEqual(again.line(), "STATS")
        again.close()
        self.until("probe reset", 1)

    def test_a_second_answer_is_not_taken_for_the_next(self) -> None:
        probe = self.settled()
        probe.send("PONG x0=0.3", "PONG x0=0.99")
        self.served()
        _client = self.open(3)
        self.assertEqual(probe.line(), "")
        again = self.server.accept()
        self.assertEqual(again.line(), "STATS")


class Watches(CrossingTest):
    settings = UNPROBED

    def indented(self, watch: Peer, revision: int, *members: dict[str, Any]) -> None:
        """One list over many lines, each in a chunk of its own, with an empty line in it."""
        document = {"revision": revision, "complete": False, "members": members, "note": 'a "}" in { text'}
        for line in [*json.dumps(document, indent=2).splitlines(), ""]:
            watch.send(f"{len(line) + 1:x}", line + "\n")

    def test_a_list_may_be_indented_over_several_lines(self) -> None:
        self.start([self.member(host_port="127.0.0.1:1")])
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        self.indented(watch, 2, self.member(host_port="127.0.0.1:2"))
        watch.send("1", "\n")
        self.indented(watch, 3, self.member())
        self.until("events_endpoint_update", 3)
        self.up()

    def test_a_change_from_before_the_list_that_stands_undoes_nothing(self) -> None:
        self.start()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        watch.chunk(5, self.member(phase="draining"))
        watch.chunk(4, self.member(phase="ready"))
        watch.chunk(6, self.member("s2", phase="draining"))
        self.until("events_endpoint_update", 3)
        client = self.open(wait=300)
        self.assertRegex(client.line(), "^BUSY")
        self.assertEqual(select.select([self.server.sock], [], [], 0)[0], [])

    def test_a_list_that_never_ends_is_silence(self) -> None:
        self.start()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        for _ in range(20):  # a byte each half second keeps no watch alive
            with suppress(OSError):  # it has been closed, and the next call is on its way
                watch.send("1", "{")
            if select.select([self.discovery.sock], [], [], 0.5)[0]:
                return
        self.fail("the watch was not opened anew")

    def test_a_silent_watch_is_opened_anew_before_what_it_misses_counts_as_told(self) -> None:
        self.start()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        watch.chunk(2, self.member("s2"))
        fell_silent = time.monotonic()
        self.discovery.watch()
        self.assertLess(time.monotonic() - fell_silent, 5.2)  # it counts after 6; 4.5 at the latest is built

    def test_a_watch_that_stands_without_a_change_ends_the_back_off(self) -> None:
        self.start()
        for _ in range(3):
            self.discovery.watch()[0].close()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        watch.send("1", "\n")
        self.until("events_endpoint_update", 5)
        watch.close()
        broke = time.monotonic()
        self.discovery.watch()
        self.assertLess(time.monotonic() - broke, 3.0)  # 1.5 s at most; the fourth failure's is 4 to 12

    def test_a_reload_beside_the_end_of_the_old_watch_opens_one_watch_at_the_new_place(self) -> None:
        self.start()
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        new = Listener()
        self.path.write_text(json.dumps(json.loads(self.path.read_text()) | {"discovery": new.address}))
        assert self.node
        with self.stopped():
            watch.close()
            self.node.send_signal(signal.SIGHUP)
        self.logged("config_reloaded")
        call, ask = new.watch()
        self.assertEqual(ask, "GET /discovery/hosts HTTP/1.1")
        call.send("HTTP/1.1 200 OK", "Content-Length: 2", "", "{}")  # no list: asked for again
        _, ask = new.watch()
        self.assertEqual(ask, "GET /discovery/hosts HTTP/1.1")
        self.assertEqual(select.select([new.sock, self.discovery.sock], [], [], 1.0)[0], [])


class Pushed(CrossingTest):
    settings = UNPROBED | {"discovery": "pushed"}

    def test_where_lists_are_pushed_the_watch_is_opened_at_once(self) -> None:
        self.start()
        watch, ask = self.discovery.watch()
        self.assertIn("watch=1", ask)
        watch.begin_watch()
        watch.chunk(2, self.member(phase="draining"))
        watch.close()
        _, ask = self.discovery.watch()
        self.assertIn("after=2 ", ask)


class Ends(CrossingTest):
    settings = UNPROBED

    def test_one_that_has_said_nothing_yet_is_told_to_come_again(self) -> None:
        self.start()
        silent, half = self.client(), self.client()
        half.sock.sendall(b"OPEN 00000000000")
        pinging = self.resting()
        self.terminate()
        self.logged("shutdown_started")
        time.sleep(1.5)  # FIRST_LINE_WITHIN would have ended the first ones
        late = self.client()
        self.assertEqual((late.line(), late.line()), ("BUSY 1000", ""))
        for client in (silent, half):
            self.assertIn(client.line(), ("ERR", "BUSY 1000"))
        self.assertEqual(pinging.line(), "")

    def test_a_request_on_a_resting_connection_as_its_time_is_up_is_served(self) -> None:
        """Before, a balancer that ended it closed over the unread request: a reset, and no answer."""
        self.start()
        resting, silent = self.resting(), self.resting()
        with self.stopped():
            time.sleep(2.1)  # more than FIRST_LINE_WITHIN, which is up before it goes on
            self.open(1, client=resting)
        server, line = self.server.rpc()
        self.assertIn("0000000000000001", line)
        server.send("UP r")
        self.assertEqual(resting.line(), "UP r")
        self.assertEqual(silent.line(), "")
        self.goes_on(2)

    def test_a_request_on_a_resting_connection_as_the_balancer_ends_is_answered(self) -> None:
        self.start()
        self.terminate()
        self.logged("shutdown_started")
        resting = [self.resting() for _ in range(3)]
        with self.stopped():
            time.sleep(1.9)  # with nobody to move it closes 1.7 s after the signal
            for number, client in enumerate(resting, 1):
                self.open(number, client=client)
        for client in resting:
            self.assertRegex(client.line(), "^BUSY [1-9]")
        assert self.node
        self.assertEqual(self.node.wait(PATIENCE), 0)

    def test_whoever_stands_in_the_backlog_when_it_ends_is_answered_however_late_it_is(self) -> None:
        self.start()
        self.terminate()
        self.logged("shutdown_started")
        with self.stopped():
            clients = [self.open(number) for number in range(1, 21)]
            silent = self.client()
            time.sleep(3.8)  # it stands still through all of its end
        for client in clients:
            self.assertRegex(client.line(), "^BUSY [1-9]")
        self.assertEqual(silent.line(), "BUSY 1000")
        assert self.node
        self.assertEqual(self.node.wait(PATIENCE), 0)

    def test_sigterm_while_the_address_is_held_ends_it(self) -> None:
        self.path.write_text(json.dumps(self.config()))
        with socket.create_server(self.listen):
            self.launch()
            self.logged("bind_address_in_use")
            self.terminate()
            assert self.node
            self.assertEqual(self.node.wait(PATIENCE), 0)
        self.assertNotIn('"serving_started"', self.stop())

    def test_sighup_while_the_address_is_held_moves_discovery(self) -> None:
        self.path.write_text(json.dumps(self.config()))
        new = Listener()
        with socket.create_server(self.listen):
            self.launch()
            self.logged("bind_address_in_use")
            self.reload(discovery=new.address)
            self.assertEqual(new.watch()[1], "GET /discovery/hosts HTTP/1.1")
        self.logged("serving_started")

    def test_sighup_beside_sigterm_in_either_order(self) -> None:
        for first, second in ((signal.SIGTERM, signal.SIGHUP), (signal.SIGHUP, signal.SIGTERM)):
            with self.subTest(first=first):
                self.setUp()
                self.start()
                client, _server = self.up()
                assert self.node
                with self.stopped():
                    self.node.send_signal(first)
                    self.node.send_signal(second)
                self.assertEqual((client.line(), client.line()), ("MOVE", ""))
                client.close()
                self.assertEqual(self.node.wait(PATIENCE), 0)
                self.assertIn('"config_reloaded"', self.stop())

    def test_sighup_while_the_program_is_loaded_ends_nothing(self) -> None:
        """By the command of the deploy file: the interpreter is held in its start until the signal came."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        folder = Path(self.folder.name)
        os.mkfifo(folder / "hold")
        (folder / "sitecustomize.py").write_text(f"open({str(folder / 'hold')!r}).read()\n")
        self.path.write_text(json.dumps(self.config()))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        self.node = subprocess.Popen(
            ["/bin/sh", "-c", command.replace(".run/bin/python", sys.executable)],
            cwd=ROOT,
            env=environ | {"RELAY_CONFIG": str(self.path), "PYTHONPATH": str(folder)},
            stderr=subprocess.PIPE,
            text=True,
        )
        with open(folder / "hold", "w"):  # opens once the interpreter reads it
            self.node.send_signal(signal.SIGHUP)
        self.logged("serving_started")
        self.ready()


class Advice(CrossingTest):
    def test_no_longer_time_is_told_than_clients_follow_and_none_where_they_are_told_none(self) -> None:
        for limits, answer in (({"retryAfter": False}, "BUSY"), ({"maxRetryAfterUs": 300_000}, "BUSY 300")):
            with self.subTest(answer=answer):
                self.setUp()
                self.settings = UNPROBED | {"limits": UNPROBED["limits"] | limits}
                self.start()
                self.terminate()
                self.logged("shutdown_started")
                time.sleep(1.5)
                late = self.client()
                self.assertEqual((late.line(), late.line()), (answer, ""))
                self.stop()


class Settings(CrossingTest):
    settings = UNPROBED
    bad: tuple[tuple[str, Any], ...] = (
        ("fleetSize", 0), ("fleetSize", "three"), ("classes.0.aimUs", 0), ("classes.0.aimUs", None),
        ("classes.0.deadlineUs", 0), ("classes.0.deadlineUs", True), ("limits.maxAttempts", 0),
        ("limits.dialTimeoutUs", -1), ("limits.dialTimeoutUs", "75"), ("limits.keepaliveUs", 0),
        ("limits.maxRetryAfterUs", -1), ("rules.coldFrom", -0.1), ("rules.tipMultiple", float("nan")),
        ("rules.warmAfterUs", -1), ("rules.fallUs", 0), ("rules.drainGraceUs", -1), ("rules.askEveryUs", 0),
        ("familyInfo.messageAimUs", [-1]), ("deductions.crossZone", float("inf")),
        ("accounts", [{"name": "a", "share": 0}]),
    )  # fmt: skip

    def changed(self, config: dict[str, Any], path: str, value: Any) -> str:
        copy = json.loads(json.dumps(config))
        *way, key = path.split(".")
        place: Any = copy["settings"]
        for step in way:
            place = place[int(step)] if isinstance(place, list) else place.setdefault(step, {})
        place[key] = value
        return json.dumps(copy)

    def key_of(self, path: str) -> str:
        key = path.rpartition(".")[2]
        return {"fleetSize": "fleet"}.get(key, key)

    def test_absurd_settings_are_refused_at_a_reload_with_their_key_and_the_old_ones_go_on(self) -> None:
        self.start()
        good = json.loads(self.path.read_text())
        for path, value in self.bad:
            with self.subTest(path=path, value=value):
                entry = self.reload(self.changed(good, path, value))
                self.assertEqual(entry["event"], "config_reload_rejected")
                self.assertIn(self.key_of(path), entry["reason"])
        self.goes_on(1)

    def test_absurd_settings_are_refused_at_the_start_with_their_key(self) -> None:
        for path, value in self.bad[::4]:  # each start takes a moment; a reload reads by the same code
            with self.subTest(path=path, value=value):
                self.setUp()
                self.start(text=self.changed(self.config(), path, value))
                assert self.node
                self.assertEqual(self.node.wait(PATIENCE), 2)
                self.assertIn(self.key_of(path), self.stop())
