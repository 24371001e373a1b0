"""Serving system for a limited fleet of model engines and plain services.

The decision cores re-exported here can be embedded in other programs. Each is
a state machine without I/O: it takes typed events and the current time, and
returns typed actions.
"""

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
from clementinedyke.quarantine.core import QuarantineCore, QuarantineSettings
from clementinedyke.retries.core import RetryCore, RetryLimits
from clementinedyke.roles.core import RolePlanner
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.selection import RouterSettings
from clementinedyke.usage.closing import CloserCore
from clementinedyke.usage.core import PartCore

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
