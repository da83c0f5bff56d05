"""A seeded test of the store's storage: crashes, power failures and disk errors at each step of each write.

`disk` simulates the failures, `history` runs random operations on `Storage`, and `planted_faults` has faults
that the histories have to find.
"""
