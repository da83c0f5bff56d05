"""Hosts instances of the decision module on the simulator's wire: standard input to standard output."""

import sys
from collections.abc import Iterable
from typing import TextIO

from wheatstile import interface as api
from wheatstile.config.settings import settings
from wheatstile.decisions import Balancer
from wheatstile.simulator import wire


class Host:
    """The instances by number, the numbered server lists that they share, and the batch being read."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: dict[int, list[api.Endpoint]] = {}
        self.rows_due = 0
        self.rows: list[api.Endpoint] = []
        self.now: int | None = None
        self.turn = "0"
        self.instance = 0  # of the line being read, to have a fault named after it
        self.reply: list[str] = []

    def line(self, line: str) -> bool:
        """Take one line of a batch; true when the batch is whole and its reply complete."""
        name, fields = wire.split_line(line)
        if name == "ROUND":
            if self.now is not None:
                raise wire.WireError("ROUND before the last batch's FLUSH")
            self.now, self.turn, self.reply = wire.whole(fields, "clockUs"), wire.text(fields, "turn"), []
            return False
        if self.now is None:
            raise wire.WireError(f"{name} outside a batch")
        if name == "ROW":
            if self.rows_due == 0:
                raise wire.WireError("ROW beyond the number that ROSTER gave")
            self.rows.append(wire.list_entry(fields))
            self.rows_due -= 1
            return False
        if self.rows_due:
            raise wire.WireError(f"{name} where {self.rows_due} more ROW lines are due")
        if name == "FLUSH":
            self.now = None
            self.reply.append(f"READY\tturn={self.turn}")
            return True
        if name == "ROSTER":
            self.rows_due, self.rows = wire.whole(fields, "rowsIn"), []
            if self.rows_due < 0:
                raise wire.WireError("rowsIn is negative")
            self.lists[wire.whole(fields, "buffer")] = self.rows
            return False
        self.event(name, fields, self.now)
        return False

    def event(self, name: str, fields: wire.Fields, now: int) -> None:
        """Hand one event to its instance and keep what it answers."""
        self.instance = wire.whole(fields, "balancer")
        if name == "CONFIGURE":
            seed, profile = wire.whole(fields, "prng"), wire.text(fields, "profileData")
            balancer = Balancer(settings(profile), seed)
            self.instances[self.instance] = balancer
            self.keep(balancer.start(now))
            return
        if name == "TEARDOWN":
            self.instances.pop(self.instance, None)
            return
        event: api.Event | None
        if name == "FLEET":
            kind = wire.text(fields, "kind")
            rows: list[api.Endpoint] = []
            if wire.LIST_KINDS.get(kind) is not api.EndpointUpdateKind.FAILED:
                buffer = wire.whole(fields, "buffer")
                if buffer not in self.lists:
                    raise wire.WireError(f"FLEET names list {buffer}, which no ROSTER defined")
                rows = self.lists[buffer]
            event = wire.server_list(kind, rows)
        elif name in wire.EVENTS:
            event = wire.EVENTS[name](fields)
        else:
            return
        host = self.instances.get(self.instance)
        if event is not None and host is not None:
            self.keep(host.handle(now, event))

    def keep(self, actions: Iterable[api.Action]) -> None:
        for action in actions:
            self.reply.append(wire.action_line(self.instance, action))


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends. Returns the exit status."""
    host = Host()
    for raw in source:
        line = raw.rstrip("\n")
        if not line:
            continue
        try:
            done = host.line(line)
        except Exception as error:  # the wire's last word must be plain, whatever failed
            what = str(error) if isinstance(error, ValueError) else f"{type(error).__name__}: {error}"
            message = f"{line.split(chr(9), 1)[0][:40]}: {what}"[:300]
            errors.write(f"wheatstile: {message}\n")
            if host.now is not None:
                sink.write(f"{wire.fault_line(host.instance, message)}\nREADY\tturn={host.turn}\n")
                sink.flush()
            return 1
        if done:
            sink.write("\n".join(host.reply) + "\n")
            sink.flush()
    if host.now is not None:
        errors.write("wheatstile: the input ended inside a batch\n")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
