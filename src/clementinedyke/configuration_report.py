"""Tells operators about the configuration of a daemon."""

from clementinedyke.configuration_component import ConfigurationComponent
from clementinedyke.http_message import RequestError


class ConfigurationReport:
    """Tells operators which configuration is in force."""

    def __init__(self, configuration: ConfigurationComponent) -> None:
        """Create the report.

        :param configuration: source of the records in force.
        """
        self._configuration = configuration

    def get_revision(self) -> int:
        """Return the revision in force, 0 before the first one."""
        try:
            return self._configuration.get_directory().revision
        except RequestError:
            return 0

    def get_status(self) -> dict[str, int]:
        """Return the section of the status."""
        return {'revision': self.get_revision()}

    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        try:
            self._configuration.get_directory()
        except RequestError:
            return False
        return True
