"""Settings of a daemon."""

from clementinedyke.settings.core import (
    Settings,
)

__all__ = ('Settings',)
