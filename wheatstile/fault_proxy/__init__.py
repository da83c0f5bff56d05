"""The fault proxy (`wheatstile fault-proxy`): a TCP proxy that injects network faults between processes.

It blocks, delays, throttles and resets the connections between the processes of a fleet. Tests and operators
send it commands. Its modules, from pure logic to I/O:

- `errors`: the exceptions of the package.
- `commands`: the parser of commands and scripts.
- `fault_table`: the active faults, and the resulting conditions for one direction of a link.
- `frames`: the splitter of a byte stream into length-prefixed frames.
- `delivery`: the delivery time and the number of copies of each piece of a stream.
- `routes`: the listening port and the target port of each link between two processes.
- `live_faults`: the fault table of a running proxy; tasks can wait for its changes.
- `stream_relay`: the relay of one direction of a connection.
- `connection`: the relay of both directions of a connection.
- `proxy`: the listening sockets and the three sources of commands.

`wheatstile serve` does not import this package.
"""
