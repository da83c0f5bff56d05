"""Adapter through which the simulator runs the decision module. No other package imports it."""
