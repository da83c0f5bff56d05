"""Helpers that several test files share."""
