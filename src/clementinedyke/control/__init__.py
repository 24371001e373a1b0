"""Messages and values that daemons exchange, and reports to operators."""
