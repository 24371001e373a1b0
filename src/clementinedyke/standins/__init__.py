"""Small stand-ins of outside systems for tests and ``make run``."""
