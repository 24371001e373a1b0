"""Serving system for a limited fleet of model engines and plain services.

The decision cores re-exported here can be embedded in other programs. Each is
a state machine without I/O: it takes typed events and the current time, and
returns typed actions.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from clementinedyke.admission.core import AdmissionCore
    from clementinedyke.admission.service import AdmissionLimits
    from clementinedyke.application import Application
    from clementinedyke.capacity.core import CapacityPlanner
    from clementinedyke.claims.core import ClaimCore, ClaimSettings
    from clementinedyke.claims.messages import ClaimRequested
    from clementinedyke.clock import Clock, ManualClock, MonotonicClock
    from clementinedyke.codes import ExecutionState, ResultCode
    from clementinedyke.components import Component
    from clementinedyke.configuration.core import ConfigurationCore
    from clementinedyke.exceptions import ClementinedykeError
    from clementinedyke.leases.core import LeaseCore
    from clementinedyke.members.core import Membership
    from clementinedyke.orders.core import OutboxCore
    from clementinedyke.quarantine.core import (
        QuarantineCore,
        QuarantineSettings,
    )
    from clementinedyke.retries.core import RetryCore, RetryLimits
    from clementinedyke.roles.core import RolePlanner
    from clementinedyke.routing.core import RouterCore
    from clementinedyke.routing.selection import RouterSettings
    from clementinedyke.usage.closing import CloserCore
    from clementinedyke.usage.core import PartCore

#: Module of each name. They are loaded when they are used first: an entry
#: daemon needs few of them, and would spend a quarter of its start on the rest.
_MODULES = {
    'AdmissionCore': 'clementinedyke.admission.core',
    'AdmissionLimits': 'clementinedyke.admission.service',
    'Application': 'clementinedyke.application',
    'CapacityPlanner': 'clementinedyke.capacity.core',
    'ClaimCore': 'clementinedyke.claims.core',
    'ClaimRequested': 'clementinedyke.claims.messages',
    'ClaimSettings': 'clementinedyke.claims.core',
    'ClementinedykeError': 'clementinedyke.exceptions',
    'Clock': 'clementinedyke.clock',
    'CloserCore': 'clementinedyke.usage.closing',
    'Component': 'clementinedyke.components',
    'ConfigurationCore': 'clementinedyke.configuration.core',
    'ExecutionState': 'clementinedyke.codes',
    'LeaseCore': 'clementinedyke.leases.core',
    'ManualClock': 'clementinedyke.clock',
    'Membership': 'clementinedyke.members.core',
    'MonotonicClock': 'clementinedyke.clock',
    'OutboxCore': 'clementinedyke.orders.core',
    'PartCore': 'clementinedyke.usage.core',
    'QuarantineCore': 'clementinedyke.quarantine.core',
    'QuarantineSettings': 'clementinedyke.quarantine.core',
    'ResultCode': 'clementinedyke.codes',
    'RetryCore': 'clementinedyke.retries.core',
    'RetryLimits': 'clementinedyke.retries.core',
    'RolePlanner': 'clementinedyke.roles.core',
    'RouterCore': 'clementinedyke.routing.core',
    'RouterSettings': 'clementinedyke.routing.selection',
}

__all__ = (
    'AdmissionCore',
    'AdmissionLimits',
    'Application',
    'CapacityPlanner',
    'ClaimCore',
    'ClaimRequested',
    'ClaimSettings',
    'ClementinedykeError',
    'Clock',
    'CloserCore',
    'Component',
    'ConfigurationCore',
    'ExecutionState',
    'LeaseCore',
    'ManualClock',
    'Membership',
    'MonotonicClock',
    'OutboxCore',
    'PartCore',
    'QuarantineCore',
    'QuarantineSettings',
    'ResultCode',
    'RetryCore',
    'RetryLimits',
    'RolePlanner',
    'RouterCore',
    'RouterSettings',
)


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Return a re-exported name.

    :param name: name that is not loaded yet.
    :raises AttributeError: if there is no such name.
    """
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    loaded = getattr(import_module(module), name)
    globals()[name] = loaded  # noqa: WPS421
    return loaded
