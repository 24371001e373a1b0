"""Status sections on the members and the configuration."""

from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.daemons import ControlComponent
from clementinedyke.http.message import RequestError


class ConfigurationReport:
    """Reports the revision of the current records."""

    def __init__(self, configuration: ConfigurationComponent) -> None:
        """Create the report.

        :param configuration: source of the current records.
        """
        self._configuration = configuration

    def get_revision(self) -> int:
        """Return the current revision, 0 while there is none."""
        try:
            return self._configuration.get_directory().revision
        except RequestError:
            return 0

    def get_status(self) -> dict[str, int]:
        """Return the status section with the current revision."""
        return {'revision': self.get_revision()}

    def has_configuration(self) -> bool:
        """Return whether the daemon has had up-to-date records."""
        return self._configuration.is_ready()


class MemberReport:
    """Reports the living members that this daemon knows."""

    def __init__(self, control: ControlComponent) -> None:
        """Create the report.

        :param control: control cores of this daemon.
        """
        self._control = control

    def get_status(self) -> list[dict[str, str]]:
        """Return the status section with an entry per living member."""
        node = self._control.node
        if node is None:
            return []
        return [
            {
                'daemon': member.daemon_id,
                'availability_zone': member.availability_zone,
                'state': member.state.name.lower(),
            }
            for member in node.membership.view.table.list_ring()
        ]
