"""The entry daemon on hosts without disks: decisions, state and recovery."""
