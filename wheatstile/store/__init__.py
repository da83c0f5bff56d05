"""The fleet's own replicated store: Raft as a pure step function (`raft`), and later its log, snapshots and
transport. Not imported by `run`: nothing of it is switched on yet.
"""
