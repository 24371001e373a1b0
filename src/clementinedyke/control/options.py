"""Derives the options of the daemon port from the settings."""

import time

from clementinedyke.configuration.events import ConfigurationOptions
from clementinedyke.control.messages import Member
from clementinedyke.daemons import ControlOptions
from clementinedyke.members.events import MembershipOptions
from clementinedyke.settings.core import Settings

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def compile_control_options(settings: Settings) -> ControlOptions:
    """Return the options of the daemon port.

    :param settings: settings of the daemon.
    """
    return ControlOptions(
        host=settings.daemon_host,
        port=settings.daemon_port,
        secret=settings.daemon_secret.get_secret_value(),
        certificate=settings.daemon_certificate,
        private_key=settings.daemon_key,
        authority=settings.daemon_authority,
        membership=MembershipOptions(probe_interval=settings.probe_interval),
        configuration=ConfigurationOptions(key_max_age=settings.key_max_age),
    )


def create_member(settings: Settings, address: str) -> Member:
    """Return the member record of this process.

    :param settings: settings of the daemon.
    :param address: address that the daemon port is bound to.
    """
    # Successive processes on one address are ordered by the wall clock of
    # their host.
    run = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    return Member(
        daemon_id=f'{settings.host_id}/{address}',
        host_id=settings.host_id,
        region=settings.region,
        availability_zone=settings.availability_zone,
        address=settings.daemon_address or address,
        run=run,
        incarnation=run,
    )
