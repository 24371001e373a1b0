"""Creates the components of the duties, which one daemon at a time performs."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.capacity_plan import CapacityPlan, CapacityTargets
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.duty_lease import DUTIES_SCOPE, DutyLease
from clementinedyke.entry.endpoint_pauses import EndpointPauses
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.order_component import OrderComponent
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.platform_parts import Duties, PlatformParts
from clementinedyke.entry.stage_plan import StagePlan
from clementinedyke.entry.usage_closer import WindowCloser
from clementinedyke.entry.usage_component import UsageComponent, UsageTiming
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_sharing import UsageSharing, create_sharing
from clementinedyke.entry.wall_time import WallTime
from clementinedyke.leases import Identity, LeaseTiming
from clementinedyke.leases.component import LeaseComponent, LeasePolicy
from clementinedyke.leases.handover import ExpiryHandover

_RENEWALS_PER_LEASE = 3
#: Longer than the timeout of the store client.
_CALL_TIMEOUT: Milliseconds = 1600
#: With the time for the last usage parts it stays within what the caller port
#: leaves of the stop grace.
_RELEASE_TIMEOUT: Milliseconds = 400
#: Upper bound of the ratio between the clock rates of two hosts.
_DRIFT_FACTOR = 1.1
#: Effectively never: the platform has no host list to read.
_HOST_LIST_INTERVAL: Milliseconds = 10**9
#: Share of a service's engines that run the decode stage. With a quarter of
#: the engines at 64 slots each, about 15 concurrent streams keep every decode
#: step short.
_DECODE_SHARE = 0.25
#: Share of the engines allowed in an availability zone that are ordered as
#: cheap ones.
_CHEAP_ZONE_SHARE: float = 1
#: Share of these cheap engines that must be serving before standard engines
#: are returned.
_SERVING_SHARE = 0.4
_CAPACITY_TARGETS = CapacityTargets(_CHEAP_ZONE_SHARE, _SERVING_SHARE)


@dataclass(frozen=True, slots=True)
class DutyDependencies:
    """Parts of the daemon that the components of the duties depend on."""

    clock: Clock
    journal: Journal
    generator: Random
    wall_time: WallTime
    usage: UsageCounter
    configuration: ConfigurationView
    endpoints: EndpointView
    work: WorkTable
    pauses: EndpointPauses
    is_candidate: Callable[[str], bool]
    count_daemons: Callable[[], int]
    list_hosts: Callable[[Milliseconds], frozenset[str]]
    network: PeerNetwork
    select_collector: Callable[[], str | None]


def create_duties(
    settings: HostSettings,
    platform: PlatformParts,
    run_id: str,
    dependencies: DutyDependencies,
) -> list[Component]:
    """Return the components of the duties; empty if the platform has none.

    :param settings: settings of this host.
    :param platform: clients of the platform.
    :param run_id: identity of this run of the daemon.
    :param dependencies: parts of the daemon that the components use.
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
        _create_sharing(settings, platform, run_id, dependencies),
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
    platform.store.return_observers.append(usage.record_return)
    return [
        leases,
        usage,
        _create_order_component(lease, platform.duties, dependencies),
    ]


def _create_sharing(
    settings: HostSettings,
    platform: PlatformParts,
    run_id: str,
    dependencies: DutyDependencies,
) -> UsageSharing:
    sharing = create_sharing(
        settings.host,
        run_id,
        platform.store,
        dependencies.usage,
        (dependencies.network, dependencies.clock, dependencies.journal),
    )
    sharing.select_collector = dependencies.select_collector
    dependencies.network.add_receiver(sharing.prefix, sharing.receive)
    return sharing


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
        restarts_observation=True,
    )
    return LeaseComponent(
        identity,
        platform.store,
        platform.hosts,
        dependencies.clock,
        dependencies.generator,
        is_candidate=dependencies.is_candidate,
        policy=LeasePolicy(
            timing, ExpiryHandover(identity, 0, 0), _RELEASE_TIMEOUT
        ),
    )


def _create_order_component(
    lease: DutyLease, duties: Duties, dependencies: DutyDependencies
) -> OrderComponent:
    return OrderComponent(
        lease,
        (dependencies.configuration, dependencies.endpoints),
        (CapacityPlan(_CAPACITY_TARGETS), StagePlan(_DECODE_SHARE)),
        duties,
        (dependencies.work, dependencies.pauses),
        dependencies.clock,
        dependencies.journal,
    )
