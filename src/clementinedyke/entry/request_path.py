"""Assembles the components that handle the requests of callers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from clementinedyke.clock import Clock
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.endpoint_notices import EndpointNotices
from clementinedyke.entry.endpoint_reader import EndpointReader
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.exchange import Exchange
from clementinedyke.entry.exchanged_state import ExchangedState
from clementinedyke.entry.gateway import Gateway
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.intake import Intake
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.links import Links, create_links
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.entry.retry_budget import RetryBudgets
from clementinedyke.entry.runners import RunnerContext
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.suspect_component import SuspectComponent
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.version_finder import StreamHandover, VersionFinder


@dataclass(frozen=True, slots=True)
class RequestPathContext:
    """Dependencies of the request path on the rest of the daemon."""

    usage: UsageCounter
    clock: Clock
    journal: Journal
    generator: random.Random
    count_daemons: Callable[[], int]
    has_infrequent_updates: Callable[[], bool]
    platform: PlatformParts
    endpoints: EndpointView
    store_contact: StoreContact


@dataclass(frozen=True, slots=True)
class RequestPath:
    """The gateway and the parts of it that other components update."""

    gateway: Gateway
    placement: PlacementCore
    links: Links
    suspect_component: SuspectComponent
    network: PeerNetwork
    versions: VersionFinder
    handover: StreamHandover
    exchange: Exchange
    exchanged_state: ExchangedState


def create_request_path(
    settings: HostSettings,
    view: ConfigurationView,
    work: WorkTable,
    context: RequestPathContext,
) -> RequestPath:
    """Return the request path; no port or connection is opened yet.

    :param settings: settings of the host.
    :param view: view of the active configuration.
    :param work: table of the work at each endpoint.
    :param context: dependencies on the rest of the daemon.
    """
    notices = EndpointNotices(
        settings.host, context.endpoints.departures, context.journal
    )
    placement = PlacementCore(
        settings.availability_zone,
        work,
        context.generator,
        context.has_infrequent_updates,
        notices,
    )
    suspect_component = SuspectComponent(
        context.platform.store,
        context.clock,
        context.journal,
        settings.host,
    )
    network = PeerNetwork(context.journal)
    links = create_links(
        settings.availability_zone,
        (view, context.endpoints),
        context.count_daemons,
        network,
        (context.clock, context.journal, context.generator),
        (notices, context.platform.protocol),
    )
    suspect_component.check_listening = links.transport.check_listening
    exchange = Exchange(
        context.platform.protocol,
        placement,
        context.clock,
        links.transport,
        suspect_component.suspects,
        notices,
    )
    exchange.examine = suspect_component.examine
    exchange.check_running = suspect_component.check_running
    placement.has_connection = links.transport.has_connection
    intake = Intake(
        view,
        settings.bounds.max_key_age,
        settings.bounds.configuration_delay,
        context.generator,
    )
    versions = VersionFinder(
        context.endpoints,
        EndpointReader(context.platform),
        network,
        settings.availability_zone,
        context.clock,
        context.journal,
    )
    runner_context = RunnerContext(
        context.platform.protocol,
        placement,
        exchange,
        context.usage,
        context.clock,
        count_daemons=context.count_daemons,
        budgets=RetryBudgets(settings.bounds),
        suspects=suspect_component.suspects,
        versions=versions,
        generator=context.generator,
    )
    gateway = Gateway(intake, runner_context, context.journal)
    return RequestPath(
        gateway,
        placement,
        links,
        suspect_component,
        network,
        versions,
        StreamHandover(versions.tell),
        exchange,
        ExchangedState(
            work=work,
            configuration=view,
            endpoints=context.endpoints,
            store_contact=context.store_contact,
            suspects=suspect_component,
            notices=notices,
            relay_port=links.relay_port,
        ),
    )
