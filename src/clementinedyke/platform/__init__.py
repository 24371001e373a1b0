"""Adapter to the users' platform: its messages in the product's own types."""
