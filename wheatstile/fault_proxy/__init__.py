"""The fault proxy (`wheatstile fault-proxy`): a TCP proxy that injects network faults between processes.

It blocks, delays, throttles and resets the connections between the processes of a fleet. Tests and operators
control it by commands. The modules, from pure logic to input and output:

- `errors`: the exceptions of the package.
- `commands`: the parser of commands and scripts.
- `fault_table`: the active faults, and the resulting conditions for one direction of a link.
- `frames`: splits a byte stream into length-prefixed frames.
- `delivery`: the time at which each piece of a stream is delivered, and the number of copies.
- `routes`: the listening port and the target port of each link between two processes.
- `live_faults`: the fault table, with waiting for its changes.
- `stream_relay`: relays one direction of a connection.
- `connection`: relays both directions of a connection.
- `proxy`: the listening sockets, and the three sources of commands.

`wheatstile serve` does not import this package.
"""
