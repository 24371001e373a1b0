"""Builds the components that process a caller's request."""

import random
from functools import partial

from clementinedyke.admission.component import AdmissionComponent
from clementinedyke.admission.share_component import ShareComponent
from clementinedyke.authority.planner import PlannerSources
from clementinedyke.callers import (
    CallerHandler,
    ConnectionLimit,
    HandlerOptions,
)
from clementinedyke.callers.outcome import OutcomeObserver, UsageObserver
from clementinedyke.callers.port import get_dispatch_limits
from clementinedyke.capacity.demand_component import DemandComponent
from clementinedyke.claims.component import ClaimComponent
from clementinedyke.clock import Clock
from clementinedyke.components import Component
from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.daemons import ControlComponent
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http.client import HttpClient
from clementinedyke.quarantine.component import EvidenceComponent
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.retries.planner import RetryPlanner
from clementinedyke.routing.component import RoutingComponent
from clementinedyke.routing.endpoint_subset import (
    PlannerCandidacy,
    find_member_position,
)
from clementinedyke.settings.core import Settings


class RequestPath:
    """Admission, routing, claims and demand measurement of a daemon."""

    def __init__(
        self,
        settings: Settings,
        control: ControlComponent,
        configuration: ConfigurationComponent,
        endpoints: EndpointRegistry,
        platform: HttpClient,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Build the components.

        :param settings: settings of the daemon.
        :param control: source of members and published values.
        :param configuration: source of the current records.
        :param endpoints: registry of the endpoints that the platform lists.
        :param platform: HTTP client of the platform.
        :param clock: clock of the process.
        :param generator: seeded random generator.
        """
        self._settings = settings
        self._control = control
        self._configuration = configuration
        self._endpoints = endpoints
        self._clock = clock
        self._generator = generator
        self.claims = ClaimComponent.connect(platform, clock)
        self.claims.count_daemons = control.count_living_daemons
        self.routing = RoutingComponent(
            endpoints,
            clock,
            settings.availability_zone,
            generator,
            partial(find_member_position, control),
        )
        planner_candidacy = PlannerCandidacy(control)
        self.routing.subset.is_planner = planner_candidacy.is_planner
        self.admission = AdmissionComponent(
            self.routing.router,
            clock,
            configuration.get_directory,
            self.routing.subset.compute_daemons_per_endpoint,
        )
        self.connection_limit = ConnectionLimit(
            settings.max_customer_connections
        )
        self.shares = ShareComponent(
            control, self.admission, configuration, clock
        )
        self.evidence = EvidenceComponent(
            control, self.routing, TableClient(platform)
        )
        self.demand = DemandComponent(control, clock)
        self.admission.arrival_observers.append(self.demand.observe_arrival)

    @property
    def components(self) -> list[Component]:
        """Components in start order."""
        return [
            self.routing,
            self.evidence,
            self.admission,
            self.shares,
            self.claims,
            self.demand,
        ]

    @property
    def planner_sources(self) -> PlannerSources:
        """Engines, endpoints and demand as input of the planners."""
        return PlannerSources(
            self.routing.list_engines,
            self._endpoints.list_endpoints,
            self.demand.get_demand,
            plans_roles=self._settings.role_orders == 'on',
        )

    def create_handler(
        self, observe_outcome: OutcomeObserver, observe_usage: UsageObserver
    ) -> CallerHandler:
        """Return the handler of callers' requests.

        :param observe_outcome: called with the outcome of each request.
        :param observe_usage: called with the token counts of each request.
        """
        options = HandlerOptions(
            admission=self.admission,
            selector=self.routing,
            limits=get_dispatch_limits(self._settings),
            clock=self._clock,
            retries=RetryPlanner(self._clock, self._generator),
            claims=self.claims,
            get_verdict=self.routing.get_verdict,
            get_part_verdict=self.routing.get_part_verdict,
            end_request=self.routing.parts.end_trial,
            get_remaining_hold_time=self.routing.get_remaining_hold_time,
            connection_limit=self.connection_limit,
            count_daemons=self._control.count_living_daemons,
            region=self._settings.region,
            observe_outcome=observe_outcome,
            observe_usage=observe_usage,
        )
        return CallerHandler(self._configuration, self._endpoints, options)
