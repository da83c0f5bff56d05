"""The same decisions on a simulator's wire, on standard input and output. No other room imports this."""
