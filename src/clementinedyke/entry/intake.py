"""Admission of requests: authentication, route and service selection."""

import random
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.entry.catalog import (
    EntryCustomer,
    EntryRequest,
    EntryRoute,
    EntryService,
)
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.examination import Examination
from clementinedyke.http.client import Framing
from clementinedyke.http.message import ConnectionInfo
from clementinedyke.quarantine.fingerprint import compute_fingerprint
from clementinedyke.quarantine.parts import compute_part_digest

_RETRY_AFTER_UNCONFIRMED: Milliseconds = 500


@dataclass(frozen=True, slots=True)
class Refusal:
    """Result of a request that was not run and will not be run."""

    code: ResultCode
    message: str
    retry_after: Milliseconds | None = None


@dataclass(slots=True)
class Job:
    """An admitted request and its progress.

    Instants are in milliseconds on the clock of this host. ``has_started`` is
    true as soon as an endpoint may have begun to run the request. ``sends``
    counts the attempts except failed connects, ``runs`` those that an endpoint
    may have run, ``reads`` the attempts to prefill. ``path`` lists the ids of
    the endpoints in the order of the sends, ``versions`` their software
    versions, ``failures`` the reasons of failed sends, ``relays`` the hosts of
    daemons that forwarded answers, ``excluded`` the ids of endpoints that are
    not tried again. ``fingerprint`` is the same for all
    requests with the same customer, method, host, target and body. ``parts``
    has the digests of the shared parts of the prompt.
    ``examination`` is that of the endpoint that lost the last answer.
    ``framing`` is that of the last answer, and ``cut_bytes`` the size of the
    incomplete event with which the last stream ended. ``version`` is the
    software version of the engine that brought the first event of the stream;
    only engines of this version may go on with it. ``connection`` is that of
    the caller.
    """

    request: EntryRequest
    route: EntryRoute
    service: EntryService
    customer: str | None
    priority: int
    received_at: Milliseconds
    deadline: Milliseconds
    fingerprint: str = ''
    parts: tuple[str, ...] = ()
    has_started: bool = False
    runs: int = 0
    sends: int = 0
    reads: int = 0
    read_at: Milliseconds | None = None
    first_event_at: Milliseconds | None = None
    path: list[str] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    relays: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    examination: Examination | None = None
    framing: Framing | None = None
    cut_bytes: int = 0
    version: str | None = None
    connection: ConnectionInfo = field(default_factory=ConnectionInfo)

    def get_time_left(self, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds until the deadline, at least 0.

        :param now: current instant.
        """
        return max(0, self.deadline - now)


class Intake:
    """Checks requests against the active configuration."""

    def __init__(
        self,
        view: ConfigurationView,
        max_key_age: Milliseconds | None,
        max_denial_age: Milliseconds,
        generator: random.Random,
    ) -> None:
        """Create the intake.

        :param view: view of the active configuration.
        :param max_key_age: age of the configuration in milliseconds beyond
            which keys are not accepted, since they may have been withdrawn.
            None sets no limit: a store that is down for all daemons cannot
            have accepted a withdrawal either.
        :param max_denial_age: age of the configuration in milliseconds beyond
            which an unknown key or route may be a new one, so that the caller
            is asked to retry instead of being denied.
        :param generator: random source for routes with a traffic split.
        """
        self._view = view
        self._max_key_age = max_key_age
        self._max_denial_age = max_denial_age
        self._generator = generator

    def admit(
        self,
        request: EntryRequest,
        now: Milliseconds,
        connection: ConnectionInfo | None = None,
    ) -> Job | Refusal:
        """Return the job for a request, or the refusal.

        :param request: decoded request.
        :param now: current instant.
        :param connection: connection of the caller; None for one of its own.
        """
        if self._view.configuration is None:
            return Refusal(
                ResultCode.NOT_READY,
                'no configuration yet',
                _RETRY_AFTER_UNCONFIRMED,
            )
        route = self._view.find_route(request.host, request.path)
        if route is None:
            return self._deny(ResultCode.ROUTE_UNKNOWN, 'no such route', now)
        customer = self._view.find_customer(request.key)
        # An operator may withdraw the last key with its customer, which leaves
        # an empty list. Only a configuration without one needs no keys.
        needs_key = self._view.configuration.customers is not None
        if needs_key and not route.is_public:
            refusal = self._check_key(customer, now)
            if refusal is not None:
                return refusal
        return self._create_job(
            request, route, customer, now, connection or ConnectionInfo()
        )

    def _check_key(
        self, customer: EntryCustomer | None, now: Milliseconds
    ) -> Refusal | None:
        if customer is None:
            return self._deny(ResultCode.KEY_UNKNOWN, 'unknown key', now)
        age = self._view.get_age(now)
        limit = self._max_key_age
        if limit is not None and (age is None or age > limit):
            return Refusal(
                ResultCode.KEY_STATE_STALE,
                'the state of keys has not been confirmed lately',
                _RETRY_AFTER_UNCONFIRMED,
            )
        return None

    def _deny(
        self, code: ResultCode, message: str, now: Milliseconds
    ) -> Refusal:
        age = self._view.get_age(now)
        if age is None or age > self._max_denial_age:
            return Refusal(
                ResultCode.KEY_STATE_STALE,
                f'{message} in a configuration that may be old',
                _RETRY_AFTER_UNCONFIRMED,
            )
        return Refusal(code, message)

    def _create_job(
        self,
        request: EntryRequest,
        route: EntryRoute,
        customer: EntryCustomer | None,
        now: Milliseconds,
        connection: ConnectionInfo,
    ) -> Job | Refusal:
        configuration = self._view.configuration
        name = self._select_service(route)
        service = configuration.services.get(name) if configuration else None
        if service is None:
            return Refusal(
                ResultCode.NO_ENDPOINT,
                f'no service {name}',
                _RETRY_AFTER_UNCONFIRMED,
            )
        caller_timeout = route.timeout
        if request.caller_timeout is not None:
            caller_timeout = min(caller_timeout, request.caller_timeout)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        name = customer.name if customer else ''
        connection.customer = name or None
        labels = (name, request.method, request.host, request.target)
        return Job(
            request=request,
            route=route,
            service=service,
            customer=name or None,
            priority=priority,
            received_at=now,
            deadline=now + caller_timeout,
            fingerprint=compute_fingerprint(labels, request.body),
            parts=tuple(
                compute_part_digest(service.name, part.part_id)
                for part in request.shared_parts
            ),
            connection=connection,
        )

    def _select_service(self, route: EntryRoute) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [max(0, share.weight) for share in route.shares]
        selected = self._generator.choices(route.shares, weights)[0]
        return selected.service
