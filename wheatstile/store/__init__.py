"""Replicated key-value store for configuration and state on which all balancers of a fleet must agree.

The layers, from the bottom up: `raft` (consensus; pure), `state_machine` (keys, sessions, events; pure),
`storage` (log and snapshot on disk), `member` (one member without networking), `server` with
`peer_transport` and `client_service` (one member as a process), and `client`. The balancer does not import
this package.
"""
