"""The fleet's replicated key-value store, for configuration and state that all balancers have to agree on.

From the bottom up: `raft` (consensus; pure), `state_machine` (keys, sessions, events; pure), `storage` (log
and snapshot on disk), `member` (one member without its sockets), `server` with `peer_transport` and
`client_service` (one member as a process), and `client`. The balancer does not import this package.
"""
