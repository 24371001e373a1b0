"""Leases, orders and usage accounting of a daemon."""
