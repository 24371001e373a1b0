"""Benchmarks run by the Makefile."""
