"""The real balancer as its peers see it."""

import json
import unittest

from peers import PATIENCE, NodeTest


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


class Silence(NodeTest):
    settings = {"familyInfo": {"tellsDelay": False}}  # noqa: RUF012  else the module moves it for its delay

    def test_a_silent_server_becomes_a_move(self) -> None:
        self.start()
        client, _server = self.up()
        client.send("anyone there?")
        self.assertEqual((client.line(), client.line()), ("MOVE", ""))


class Life(NodeTest):
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
