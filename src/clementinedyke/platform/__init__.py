"""Adapter that translates the users' platform's messages to entry types."""
