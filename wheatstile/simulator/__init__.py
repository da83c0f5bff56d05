"""Runs the decision module on the simulator's wire. No other package imports it."""
