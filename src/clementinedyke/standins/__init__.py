"""Stand-ins for external systems, for tests and ``make run``."""
