"""Benchmarks of the daemon and its decision cores."""
