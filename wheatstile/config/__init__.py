"""Configuration: the platform's file and settings, the operator's file, and the violations found in them."""
