"""Replication of records and platform lists between daemons."""

from clementinedyke.configuration.core import (
    ConfigurationCore,
)
from clementinedyke.configuration.events import (
    AdvertReceived,
    ConfigurationOptions,
    ListAnswered,
    ListChanged,
    MembersUpdated,
    Poll,
    PollAnswered,
    PollFailed,
    ReadList,
    RecordsChanged,
)

__all__ = (
    'AdvertReceived',
    'ConfigurationCore',
    'ConfigurationOptions',
    'ListAnswered',
    'ListChanged',
    'MembersUpdated',
    'Poll',
    'PollAnswered',
    'PollFailed',
    'ReadList',
    'RecordsChanged',
)
