"""The fault proxy (`wheatstile link`): a TCP proxy that injects network faults between processes.

It stands between the processes of one fleet and partitions, delays, throttles and resets their connections.
Tests and operators drive it by commands. The modules, from pure logic to input and output:

- `errors`: what the package raises.
- `commands`: the command language, parsed.
- `fault_table`: the faults in force, and what they come to for one direction of a link.
- `frames`: length-prefixed frames, cut out of a byte stream.
- `delivery`: when each piece of a stream is delivered, and how often.
- `routes`: which listening port stands for which connection between two processes.
- `live_faults`: the fault table, with waiting on its changes.
- `stream_relay`: one direction of a connection, on sockets.
- `connection`: both directions of a connection.
- `proxy`: the listeners, and the three sources of commands.

`wheatstile serve` does not import this package.
"""
