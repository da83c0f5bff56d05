"""A seeded soak test of running balancers with injected faults; all connections are on loopback.

`python benchmarks/soak --seeds 1-50` runs the seeds. Clients, servers and discovery record what they send and
receive, and the records of each run are checked against the rules of the platform's protocol.
"""
