"""Messages and values that daemons exchange, and reports to operators."""

# The modules of both packages use each other; they load in this order only.
import clementinedyke.configuration  # noqa: F401, WPS301
