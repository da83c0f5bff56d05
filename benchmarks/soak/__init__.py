"""A seeded soak of running balancers: clients, servers and discovery on loopback, with faults between them.

`python benchmarks/soak --seeds 1-50` plays the seeds and checks the rules of the platform's protocol for
each client, from a record of what both sides of every connection saw.
"""
