"""Adapter by which the simulator drives the decision module. No other package imports it."""
