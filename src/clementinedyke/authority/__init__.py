"""Leases, orders and usage that a daemon runs."""
