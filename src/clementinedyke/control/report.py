"""Tells operators what a daemon knows of members and configuration."""

from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.daemons import ControlComponent
from clementinedyke.http.message import RequestError


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
        return self._configuration.is_ready()


class MemberReport:
    """Tells operators which daemons this one knows."""

    def __init__(self, control: ControlComponent) -> None:
        """Create the report.

        :param control: control cores of this daemon.
        """
        self._control = control

    def get_status(self) -> list[dict[str, str]]:
        """Return the living members."""
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
