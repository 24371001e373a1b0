"""Builds what one daemon at a time does."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.capacity_plan import CapacityPlan, CapacityTargets
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.duty_lease import DUTIES_SCOPE, DutyLease
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.order_component import OrderComponent
from clementinedyke.entry.platform_parts import Duties, PlatformParts
from clementinedyke.entry.stage_plan import StagePlan
from clementinedyke.entry.usage_component import UsageComponent, UsageTiming
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_duty import PartWriter, WindowCloser
from clementinedyke.entry.wall_time import WallTime
from clementinedyke.leases.component import LeaseComponent, LeasePolicy
from clementinedyke.leases.handover import LapseHandover
from clementinedyke.leases.types import Identity, LeaseTiming

_RENEWALS_PER_LEASE = 3
#: Longer than the timeout of the store's client.
_CALL_TIMEOUT: Milliseconds = 1600
#: Bounds the ratio of the rates of two hosts' clocks.
_DRIFT_FACTOR = 1.1
#: The platform has no list of hosts to read.
_HOST_LIST_INTERVAL: Milliseconds = 10**9
#: Engines that generate, of all engines of a service: with a quarter of them
#: at 64 places each, about 15 streams at a time leave every step short.
_DECODE_SHARE = 0.25
#: Part of the engines that may be ordered in a zone, and the part of these
#: that must serve before standard ones are given back.
_CHEAP_ZONE_SHARE: float = 1
_SERVING_SHARE = 0.4
_CAPACITY_TARGETS = CapacityTargets(_CHEAP_ZONE_SHARE, _SERVING_SHARE)


@dataclass(frozen=True, slots=True)
class DutyDependencies:
    """What the duties use of the rest of the daemon."""

    clock: Clock
    journal: Journal
    generator: Random
    wall_time: WallTime
    usage: UsageCounter
    configuration: ConfigurationView
    endpoints: EndpointView
    work: WorkTable
    is_candidate: Callable[[str], bool]
    count_daemons: Callable[[], int]
    list_hosts: Callable[[Milliseconds], frozenset[str]]


def create_duties(
    settings: HostSettings,
    platform: PlatformParts,
    run_id: str,
    dependencies: DutyDependencies,
) -> list[Component]:
    """Return the components of the duties, none without duties.

    :param settings: settings of the host.
    :param platform: clients of the platform.
    :param run_id: identity of this run of the daemon.
    :param tools: what the duties use.
    """
    if platform.duties is None:
        return []
    leases = _create_lease_component(settings, platform, run_id, dependencies)
    core = leases.add_scope(DUTIES_SCOPE)
    lease = DutyLease(
        core,
        settings.host,
        dependencies.clock,
        settings.bounds.lease_duration,
        dependencies.journal,
    )
    usage = UsageComponent(
        lease,
        PartWriter(
            platform.store,
            dependencies.usage,
            dependencies.journal,
            settings.host,
            run_id,
        ),
        WindowCloser(
            platform.store,
            platform.duties,
            dependencies.journal,
            dependencies.list_hosts,
        ),
        dependencies.wall_time,
        UsageTiming(
            settings.bounds.usage_window,
            settings.bounds.usage_delay,
            dependencies.count_daemons,
        ),
    )
    return [
        leases,
        usage,
        _create_order_component(lease, platform.duties, dependencies),
    ]


def _create_lease_component(
    settings: HostSettings,
    platform: PlatformParts,
    run_id: str,
    dependencies: DutyDependencies,
) -> LeaseComponent:
    duration = settings.bounds.lease_duration
    identity = Identity(settings.host, str(settings.caller_address), run_id)
    timing = LeaseTiming(
        duration=duration,
        renew_interval=duration // _RENEWALS_PER_LEASE,
        drift_factor=_DRIFT_FACTOR,
        call_timeout=_CALL_TIMEOUT,
        host_interval=_HOST_LIST_INTERVAL,
        observes_anew=True,
    )
    return LeaseComponent(
        identity,
        platform.store,
        platform.hosts,
        dependencies.clock,
        dependencies.generator,
        is_candidate=dependencies.is_candidate,
        policy=LeasePolicy(timing, LapseHandover(identity, 0, 0)),
    )


def _create_order_component(
    lease: DutyLease, duties: Duties, dependencies: DutyDependencies
) -> OrderComponent:
    return OrderComponent(
        lease,
        (dependencies.configuration, dependencies.endpoints),
        (CapacityPlan(_CAPACITY_TARGETS), StagePlan(_DECODE_SHARE)),
        duties,
        dependencies.work,
        dependencies.clock,
        dependencies.journal,
    )
