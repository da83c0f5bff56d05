"""The real balancer as its peers see it."""

import json
import os
import resource
import select
import signal
import socket
import time
import unittest

from peers import PATIENCE, SETTINGS, Listener, NodeTest, Peer

# The module moves clients away from a server that answers no probes; where none are allowed, it moves nobody.
UNPROBED = {"familyInfo": {}, "limits": SETTINGS["limits"] | {"mayProbe": False}}


class FirstLines(NodeTest):
    def test_a_first_line_goes_on_byte_for_byte_but_for_d(self) -> None:
        self.start()
        _client = self.open(7, 8765, ",r=1,x=1.50,again=1")
        line = self.server.rpc()[1]
        before, _, rest = line.partition("d=")
        wait, _, after = rest.partition(",")
        self.assertEqual(before, "OPEN 0000000000000007 key7 c=web,")
        self.assertEqual(after, "g=abc,r=1,x=1.50,again=1")
        self.assertTrue(0 < int(wait) <= 8765 // 2, line)

    def test_what_no_client_sends_gets_one_err_and_the_end_and_reaches_no_server(self) -> None:
        self.start()
        good = "OPEN 0000000000000001 k c=web,d=900,g=a"
        bad = [
            "HELLO", good + " ", good + ",d=1", good + ",again=2", good + ",h=x",
            good.replace("d=900", "d=-1"), good.replace(",g=a", ""), good.replace("web", "none"),
            good.replace("0001", "001"), good.replace(" k ", "  "), "open" + good[4:], good + "\0",
            good + ",x=" + "y" * 5000, good + "\r\nOPEN 0000000000000002 k c=web,d=900,g=a",
        ]  # fmt: skip
        for line in bad:
            with self.subTest(line=line[:80]):
                client = self.client()
                client.send(line)
                self.assertEqual((client.line(), client.line()), ("ERR", ""))
        _client = self.open(9)
        self.assertIn("0000000000000009", self.server.rpc()[1])

    def test_an_id_that_has_come_before_is_not_sent_again(self) -> None:
        self.start()
        client, server = self.up(5)
        again = self.open(5)
        self.assertEqual((again.line(), again.line()), ("ERR", ""))
        client.send("still")
        self.assertEqual(server.line(), "still")


class Outcomes(NodeTest):
    def test_lines_pass_both_ways_and_the_end_with_them(self) -> None:
        self.start()
        client, server = self.up()
        client.send("a", "b" * 4000)
        self.assertEqual((server.line(), server.line()), ("a", "b" * 4000))
        server.send("c", "LOAD 12.5", "BYE")
        server.close()
        self.assertEqual([client.line() for _ in range(4)], ["c", "LOAD 12.5", "BYE", ""])

    def test_the_first_attempt_is_closed_before_the_next_is_opened(self) -> None:
        self.start([self.member("s1"), self.member("s2")])
        client = self.open()
        first = self.server.rpc()[0]
        first.send("ERR")
        second = self.server.rpc()[0]
        self.assertEqual(first.line(), "")
        second.send("UP r2")
        self.assertEqual(client.line(), "UP r2")

    def test_a_client_that_leaves_ends_its_attempt(self) -> None:
        self.start()
        client = self.open()
        server = self.server.rpc()[0]
        client.close()
        self.assertEqual(server.line(), "")

    def test_a_request_given_up_on_is_told_when_to_come_again(self) -> None:
        self.start([])
        word, _, wait = self.open(wait=300).line().partition(" ")
        self.assertEqual(word, "BUSY")
        self.assertTrue(0 < int(wait) <= 2000)

    def test_a_connection_open_before_goes_to_its_server(self) -> None:
        self.start()
        client = self.open(3, 4294967, ",at=s1")
        server, line = self.server.rpc()
        self.assertTrue(line.endswith("c=web,d=4294967,g=abc,at=s1"), line)
        server.send("UP r3")
        self.assertEqual(client.line(), "UP r3")


class Reopening(NodeTest):
    settings = UNPROBED | {"limits": UNPROBED["limits"] | {"dialTimeoutUs": 75000}}

    def test_a_connection_open_before_is_set_up_again_though_its_server_is_slow_to_accept(self) -> None:
        self.start()
        self.server.sock.listen(0)
        ahead = []
        while True:  # until the server's queue is full, and what comes next is dropped without a word
            ahead.append(socket.socket())
            ahead[-1].settimeout(0.3)
            try:
                ahead[-1].connect(self.server.sock.getsockname())
            except TimeoutError:
                break
        client = self.open(3, 4294967, ",at=s1")
        self.assertEqual(select.select([client.sock], [], [], 0.5)[0], [])  # not given up
        for sock in ahead:
            sock.close()
        while not (line := self.server.accept().line()):
            pass
        self.assertIn("at=s1", line)


class Silence(NodeTest):
    settings = UNPROBED

    def test_a_silent_server_becomes_a_move(self) -> None:
        self.start()
        client, _server = self.up()
        client.send("anyone there?")
        self.assertEqual((client.line(), client.line()), ("MOVE", ""))


class Breaks(NodeTest):
    settings = UNPROBED

    def test_a_servers_reset_is_passed_on(self) -> None:
        self.start()
        client, server = self.up()
        server.close(reset=True)
        with self.assertRaises(ConnectionResetError):
            client.line()

    def test_a_client_that_leaves_ends_its_connection_at_the_server(self) -> None:
        self.start()
        client, server = self.up()
        client.close()
        self.assertEqual(server.line(), "")

    def test_an_attempt_without_answer_ends_in_time(self) -> None:
        self.start()
        client = self.open(wait=1200)
        first = self.server.rpc()[0]
        self.assertEqual(first.line(), "")  # given up on, and closed, before its client's time is out
        self.assertIn(client.line().split()[0], ("BUSY", "ERR"))

    def test_a_client_that_reads_nothing_holds_its_server_back_and_loses_no_line(self) -> None:
        self.start()
        client, server = self.up()
        sent, line = 0, b"x" * 4094 + b"\r\n"
        server.sock.settimeout(1)
        with self.assertRaises(TimeoutError):
            while True:
                sent += server.sock.send(line)
        self.assertLess(sent, 64 << 20)  # what the kernel's buffers hold, and not the program's memory
        for _ in range(sent // len(line)):
            self.assertEqual(client.line(), "x" * 4094)

    def test_no_part_of_a_line_goes_before_a_move(self) -> None:
        self.start()
        client, server = self.up()
        server.sock.sendall(b"whole\r\nhalf")
        self.assertEqual(client.line(), "whole")
        self.terminate()
        self.assertEqual((client.line(), client.line()), ("MOVE", ""))


class BadClients(NodeTest):
    settings = UNPROBED | {"classes": [SETTINGS["classes"][0] | {"deadlineUs": 1500000}]}

    def test_whoever_says_nothing_or_half_a_line_is_turned_away_in_time(self) -> None:
        self.start()
        begun = time.monotonic()
        silent, half = self.client(), self.client()
        half.sock.sendall(b"OPEN 00000000000")
        for client in (silent, half):
            self.assertIn(client.line(), ("ERR", ""))
        self.assertLess(time.monotonic() - begun, 4.0)  # 3 s are owed

    def test_a_line_without_end_is_answered_while_it_comes_and_is_not_swallowed(self) -> None:
        self.start()
        client = self.client()
        client.sock.setblocking(False)
        sent, answer = 0, b""
        while True:
            ready, free, _ = select.select([client.sock], [client.sock], [], PATIENCE)
            try:
                if ready and not answer:
                    answer = client.sock.recv(100)
                if free:
                    sent += client.sock.send(b"x" * 65536)
            except (ConnectionResetError, BrokenPipeError):
                break
            except BlockingIOError:
                pass
        self.assertEqual(answer, b"ERR\r\n")
        self.assertLess(sent, 32 << 20)  # what the kernel's buffers hold; to read on would cost CPU

    def test_a_huge_time_to_wait_holds_nothing_longer_than_the_class_allows(self) -> None:
        self.start()
        client = self.open(1, 999999999)
        server = self.server.rpc()[0]  # and no answer
        self.assertEqual(server.line(), "")
        self.assertIn(client.line().split()[0], ("BUSY", "ERR"))
        client = self.client()
        client.send(f"OPEN {2:016x} k c=web,d=900,g=a,h={'9' * 400}")
        self.assertEqual(client.line(), "ERR")

    def test_an_old_rpc_is_not_lost_to_whoever_repeats_its_id(self) -> None:
        self.start([self.member("s1"), self.member("s2", phase="draining")])
        client, server = self.up(0)
        for number in range(1, 4200):  # more than are kept of ids that are over
            self.open(number, 0).line()
        thief = self.open(0)
        self.assertEqual((thief.line(), thief.line()), ("ERR", ""))
        self.terminate()
        self.assertEqual((client.line(), client.line()), ("MOVE", ""))
        server.close()


class Descriptors(NodeTest):
    def test_a_silent_crowd_keeps_nobody_out_and_loses_its_oldest_first(self) -> None:
        self.start(files=64)
        crowd = [self.client() for _ in range(100)]  # they say nothing, and so hold a descriptor each
        self.up(1)
        self.assertEqual(crowd[0].line(), "")
        self.assertEqual(select.select([crowd[-1].sock], [], [], 0)[0], [])

    def test_out_of_descriptors_it_refuses_politely_and_goes_on(self) -> None:
        self.start(files=64)
        held = []
        while peers := self.attempt():
            held.append(peers)
            self.assertLess(len(held), 32)
        held.pop(0)[0].close()
        while not self.attempt():
            pass

    def attempt(self) -> tuple[Peer, Peer] | None:
        """A new client that is up, and its server; nobody if it was refused."""
        self.number = getattr(self, "number", 1) + 1
        client = self.open(self.number)
        while True:
            ready = [self.server.sock, client.sock, *(probe.sock for probe in self.server.probes)]
            if client.sock in select.select(ready, [], [], PATIENCE)[0]:
                self.assertRegex(client.line(), "^BUSY [1-9]")
                return None
            server = self.server.rpc()[0]
            server.send("UP r")
            self.assertEqual(client.line(), "UP r")
            return client, server

    def test_many_servers_probes_leave_descriptors_to_the_clients(self) -> None:
        self.start([self.member(f"s{number}") for number in range(60)], files=100)
        held = [self.up(number, f"g{number}") for number in range(1, 25)]
        self.assertEqual(len(held), 24)
        self.assertLessEqual(len(self.server.probes), 12)  # a tenth, and what is closing

    def test_an_own_want_of_descriptors_is_no_servers_failure(self) -> None:
        self.start()
        client = self.resting()
        assert self.node
        resource.prlimit(self.node.pid, resource.RLIMIT_NOFILE, (3, 1024))
        client.send(f"OPEN {1:016x} key c=web,d=9000,g=a")
        counters: dict[str, int] = {}
        while not counters.get("probe not_sent"):
            self.node.send_signal(signal.SIGUSR1)
            counters = self.logged("counters_reported")
        resource.prlimit(self.node.pid, resource.RLIMIT_NOFILE, (1024, 1024))
        self.server.rpc()[0].send("UP r")
        self.assertEqual(client.line(), "UP r")
        self.assertNotIn("probe connect_failed", counters)


class Discovery(NodeTest):
    def test_changes_are_followed_and_a_failed_watch_is_asked_for_again(self) -> None:
        self.start([self.member("s1", host_port="127.0.0.1:1")])
        watch, ask = self.discovery.watch()
        self.assertEqual(ask, "GET /discovery/hosts?watch=1&after=1 HTTP/1.1")
        watch.send("HTTP/1.1 503 Busy", "Content-Length: 0", "")
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        watch.chunk(2, self.member("s1"))  # another address
        watch.chunk(3, self.member("s2", host_port="127.0.0.1:1", phase="draining"))
        watch.send("1", "\n")
        watch.chunk(4, self.member("s3", phase="odd"))
        for number in range(1, 5):
            self.up(number)
        watch.send("2", "{\n")
        _watch, ask = self.discovery.watch()
        self.assertIn("after=4 ", ask)
        self.up(9)

    def test_a_failing_discovery_is_logged_once_until_it_has_answered(self) -> None:
        self.start()
        for _ in range(2):
            watch, _ask = self.discovery.watch()
            watch.send("HTTP/1.1 503 Busy", "Content-Length: 0", "")
        watch, _ask = self.discovery.watch()
        watch.begin_watch()
        watch.chunk(2, self.member("s2"))
        watch.close()
        self.discovery.watch()  # so the third failure is over
        self.assertEqual(self.stop().count("endpoint_watch_ended"), 2)


class Reloads(NodeTest):
    settings = UNPROBED

    def test_the_watch_follows_the_files_discovery_and_nothing_else_is_touched(self) -> None:
        config, files_discovery = self.config(), Listener()
        self.path.write_text(json.dumps(config | {"discovery": files_discovery.address}))
        self.launch(RELAY_DISCOVERY=self.discovery.address)  # goes before the file, until the file changes
        self.ready()
        old, _ = self.discovery.watch()
        old.begin_watch()
        old.chunk(70, self.member("s2"))
        client, server = self.up()
        self.reload()
        call, ask = files_discovery.watch()
        # Its revisions are its own: changes since any revision told elsewhere might leave some out.
        self.assertEqual(ask, "GET /discovery/hosts HTTP/1.1")
        self.assertEqual(old.line(), "")
        body = json.dumps({"revision": 2, "complete": True, "members": [self.member("s3")]}, indent=1)
        call.send("HTTP/1.1 200 OK", f"Content-Length: {len(body)}", "", body)
        watch, ask = files_discovery.watch()
        self.assertIn("after=2 ", ask)
        watch.begin_watch()
        watch.chunk(3, self.member("s3", host_port=Listener().address))
        watch.close()
        again, ask = files_discovery.watch()
        self.assertIn("after=3 ", ask)
        client.send("still")
        self.assertEqual(server.line(), "still")
        self.reload()
        again.begin_watch()
        again.chunk(4, self.member("s3"), complete=True)
        self.up(2)

    def test_a_new_discovery_is_asked_at_once_though_calls_to_the_old_one_failed(self) -> None:
        self.start()
        for _ in range(3):  # from here the next call would be two to six seconds off
            self.discovery.watch()[0].close()
        new = Listener()
        told = time.monotonic()
        self.reload(discovery=new.address)
        new.watch()
        self.assertLess(time.monotonic() - told, 1.5)

    def test_a_file_that_cannot_be_used_changes_nothing(self) -> None:
        self.start()
        watch, _ = self.discovery.watch()
        good = json.loads(self.path.read_text())
        for text in ["{", "[" * 100_000, json.dumps(good | {"discovery": "nowhere"}), "[]"]:
            with self.subTest(text=text[:20]):
                self.assertEqual(self.reload(text)["level"], "error")
        watch.begin_watch()
        watch.chunk(2, self.member("s2"))
        self.up()

    def test_new_settings_count_at_once(self) -> None:
        self.start()
        classes = [SETTINGS["classes"][0] | {"name": "other"}]
        kept = self.reload(name="n1", settings=SETTINGS | self.settings | {"classes": classes})
        self.assertIn("name", kept["pending_restart"])
        client = self.client()
        client.send("OPEN 0000000000000001 k c=other,d=9000,g=a")
        self.assertIn("c=other", self.server.rpc()[1])

    def test_sighup_before_the_listener_is_open_ends_nothing_and_is_not_lost(self) -> None:
        text = json.dumps(self.config())
        os.mkfifo(self.path)
        self.launch()
        assert self.node
        with open(self.path, "w") as file:  # opens once the program has opened it to read
            self.node.send_signal(signal.SIGHUP)
            file.write(text)
        self.logged("serving_started")
        self.path.write_text(text)  # read by the reload
        self.logged("config_reloaded")
        self.ready()


class Life(NodeTest):
    def test_counters_are_logged_on_request(self) -> None:
        self.start()
        _client, _server = self.up()
        assert self.node
        self.node.send_signal(signal.SIGUSR1)
        counters = self.logged("counters_reported")
        self.assertEqual((counters["RPCs"], counters["attempt up"]), (1, 1))

    def test_sigterm_still_accepts_and_then_moves_everyone(self) -> None:
        self.start()
        client, server = self.up(1)
        self.terminate()
        late, _ = self.up(2)
        self.assertEqual((client.line(), client.line()), ("MOVE", ""))
        self.assertEqual((late.line(), late.line()), ("MOVE", ""))
        self.assertEqual(server.line(), "")
        client.close()
        late.close()
        assert self.node
        self.assertEqual(self.node.wait(PATIENCE), 0)

    def test_sigterm_answers_whom_no_server_has_answered_and_ends_in_time(self) -> None:
        self.start()
        standing, _server = self.up(1)
        waiting = self.open(2)
        held = self.server.rpc()[0]
        _silent = self.client()
        told = time.monotonic()
        self.terminate()
        self.assertEqual((standing.line(), standing.line()), ("MOVE", ""))
        self.assertRegex(waiting.line(), "^BUSY [1-9]")
        self.assertEqual(held.line(), "")
        for client in (standing, waiting):
            client.close()
        assert self.node
        self.assertEqual(self.node.wait(PATIENCE), 0)
        # 3.7 s are promised; neither the longest deadline, of 9 s, nor the silent channel may count.
        self.assertLess(time.monotonic() - told, 7.0)

    def test_a_log_that_cannot_be_written_ends_nothing(self) -> None:
        with open("/dev/full", "wb") as full:
            self.start(stderr=full)
            client, _server = self.up()
            self.terminate()  # which logs again
            self.assertEqual(client.line(), "MOVE")
            assert self.node
            self.assertEqual(self.node.wait(PATIENCE), 0)

    def test_an_address_that_is_still_held_is_waited_for(self) -> None:
        self.path.write_text(json.dumps(self.config()))
        with socket.create_server(self.listen):
            self.launch()
            self.logged("bind_address_in_use")
        self.logged("serving_started")

    def test_a_bad_configuration_is_one_plain_line(self) -> None:
        lacking = json.dumps(self.config() | {"settings": {}})
        for text, word in [("{", "config.json"), (lacking, "missing"), ("[]", "config.json")]:
            with self.subTest(text=text[:20]):
                self.start(text=text)
                assert self.node and self.node.stderr
                self.assertEqual(self.node.wait(PATIENCE), 2)
                errors = self.stop()
                self.assertEqual(errors.count("\n"), 1, errors)
                self.assertIn(word, errors)


if __name__ == "__main__":
    unittest.main()
