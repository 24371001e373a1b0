"""Revisions of records and endpoints that daemons hold alike."""

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
