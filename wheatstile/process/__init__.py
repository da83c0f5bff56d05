"""The balancer as an operating system process: start, signals, reload and graceful shutdown."""
