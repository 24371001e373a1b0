"""Entry daemon for hosts without disks: request routing and shared state."""
