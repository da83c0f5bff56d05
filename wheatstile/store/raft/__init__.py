"""Raft as a pure step function. Its inputs are ticks, messages, proposals and reads; its output is a `Ready`.

`node.RaftNode` is the entry point. `state.RaftState` is the state of one node, and `log.RaftLog` is its log.
Each part of the algorithm is a module of functions that take this state: `election`, `replication` (the
leader's side), `follower` (the follower's side), `read_index`, `transfer`, `membership` and `terms`. This
package performs no I/O and reads no clock.

The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(USENIX ATC 2014), with these parts of Ongaro's dissertation, "Consensus: Bridging Theory and Practice"
(Stanford, 2014): leadership transfer (§3.10), learners (§4.2.1), the check against disruptive servers
(§4.2.3), joint consensus (§4.3), a leader that steps down without a quorum (§6.2), read index (§6.4) and
pre-vote (§9.6). A section number in this package refers to the dissertation, unless it names the paper.
"""
