"""Runs the leases, orders and usage accounting of a daemon."""

import random

import trio
from absl import logging

from clementinedyke.authority.dependencies import (
    AuthorityDependencies,
    AuthorityTiming,
)
from clementinedyke.authority.service import ServiceAuthority
from clementinedyke.callers import TokenUsage
from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.control.messages import Member
from clementinedyke.daemons import ControlComponent
from clementinedyke.http.message import RequestError
from clementinedyke.leases.candidates import CandidateTable
from clementinedyke.leases.component import LeaseComponent, LeasePolicy
from clementinedyke.leases.types import Identity
from clementinedyke.records.directory import Directory
from clementinedyke.reference_platform.hosts import HostListClient
from clementinedyke.reference_platform.usage_reports import UsageReportClient
from clementinedyke.usage.closing import CloserCore
from clementinedyke.usage.component import (
    USAGE_SCOPE,
    CloserComponent,
    PartComponent,
)
from clementinedyke.usage.core import PartCore

_POLL_INTERVAL: Milliseconds = 500
_MILLISECONDS_PER_SECOND = 1000


class AuthorityComponent(Component):
    """Owns the leases of this daemon and the components that depend on them.

    Starts after the control component, because the identity of a lease holder
    contains the bound daemon address. Drains before the control component, so
    that leases are released before this daemon announces that it leaves, and
    after the caller port, so that all usage is counted.
    """

    def __init__(
        self,
        control: ControlComponent,
        dependencies: AuthorityDependencies,
        timing: AuthorityTiming,
        nonces: random.Random,
    ) -> None:
        """Create the component; leases are acquired only after the start.

        :param control: control component of this daemon.
        :param dependencies: clients, records and clock.
        :param timing: durations of leases and usage windows.
        :param nonces: seeded random generator for the nonces of lease writes.
        """
        self._control = control
        self._dependencies = dependencies
        self._timing = timing
        self._nonces = nonces
        self._revision = -1
        self._is_draining = False
        self._ended = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.leases: LeaseComponent | None = None
        self.part: PartComponent | None = None
        self.closer: CloserComponent | None = None
        #: Model services whose lease this daemon may acquire, by name.
        self.services: dict[str, ServiceAuthority] = {}

    def observe_usage(self, usage: TokenUsage) -> None:
        """Count the tokens of a finished request; ignored before the start.

        :param usage: tokens of one customer and service.
        """
        if self.part is None:
            return
        subject = f'{usage.customer}/{usage.service}'
        self.part.add_work(
            {
                f'{subject}/prompt_tokens': usage.prompt_tokens,
                f'{subject}/completion_tokens': usage.completion_tokens,
            }
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Create the components for the bound address and start them.

        :param nursery: nursery that runs the tasks.
        :raises RuntimeError: if the daemon port is not bound yet.
        """
        node = self._control.node
        if node is None:
            raise RuntimeError(
                'cannot start leases before the daemon port is bound'
            )
        view = node.membership.view
        candidates = CandidateTable(view.table.list_ring, view.own.daemon_id)
        identity = create_identity(view.own, self._control.bound_address)
        dependencies = self._dependencies
        self.leases = LeaseComponent(
            identity,
            dependencies.tables,
            HostListClient(dependencies.platform),
            dependencies.clock,
            self._nonces,
            candidates.is_candidate,
            LeasePolicy(self._timing.lease),
        )
        self.part = PartComponent(
            identity.incarnation,
            dependencies.tables,
            dependencies.clock,
            PartCore(flush_interval=self._timing.flush_interval),
        )
        self.closer = self._create_closer(self.leases)
        await nursery.start(
            self._run, self.leases, (self.leases, self.part, self.closer)
        )

    async def drain(self) -> None:
        """Write the remaining usage, then release all leases."""
        self._is_draining = True
        if self.part is None or self.leases is None or self._nursery is None:
            return
        await self.part.stop()
        await self.leases.stop()
        # Rebinding the daemon port proves that this process has ended, so the
        # port may close only after all order connections.
        self._nursery.cancel_scope.cancel()
        await self._ended.wait()

    def _create_closer(self, leases: LeaseComponent) -> CloserComponent:
        closer = CloserComponent(
            leases.add_scope(USAGE_SCOPE),
            self._dependencies.tables,
            UsageReportClient(self._dependencies.platform_address),
            self._dependencies.clock,
            CloserCore(self._timing.window_length),
        )
        leases.add_order_source(USAGE_SCOPE, closer)
        return closer

    async def _run(
        self,
        leases: LeaseComponent,
        components: tuple[Component, ...],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for component in components:
                    await component.start(nursery)
                task_status.started()
                await self._poll_records(leases, nursery)
        finally:
            self._ended.set()

    async def _poll_records(
        self, leases: LeaseComponent, nursery: trio.Nursery
    ) -> None:
        while not self._is_draining:
            try:
                directory = self._dependencies.get_directory()
            except RequestError:
                directory = None
            if directory is not None:
                self._update_deaths(directory, leases)
                self._update_services(directory, leases, nursery)
            await trio.sleep(_POLL_INTERVAL / _MILLISECONDS_PER_SECOND)

    def _update_services(
        self,
        directory: Directory,
        leases: LeaseComponent,
        nursery: trio.Nursery,
    ) -> None:
        configured = {
            name
            for name, record in directory.services.items()
            if record.backend == 'model'
        }
        for name in sorted(configured - self.services.keys()):
            added = ServiceAuthority(name, leases, self._dependencies)
            self.services[name] = added
            nursery.start_soon(added.run)
        for removed in sorted(self.services.keys() - configured):
            if not self.services[removed].is_withdrawn:
                nursery.start_soon(self._withdraw, removed)

    async def _withdraw(self, name: str) -> None:
        # Keep the entry until the lease is released: a service that is added
        # again before that must not get a second core for its scope.
        await self.services[name].withdraw()
        self.services.pop(name)

    def _update_deaths(
        self, directory: Directory, leases: LeaseComponent
    ) -> None:
        if directory.revision == self._revision:
            return
        self._revision = directory.revision
        for death in directory.deaths.values():
            if death.incarnation.startswith(f'{death.host_id}/'):
                leases.confirm_death(death.incarnation)
            else:
                logging.error(
                    'event=death_ignored name=%s reason="incarnation %s '
                    'does not belong to host %s"',
                    death.name,
                    death.incarnation,
                    death.host_id,
                )


def create_identity(own: Member, bound_address: str) -> Identity:
    """Return the identity of this run of the daemon as a lease holder.

    :param own: member record of this daemon.
    :param bound_address: address that the daemon port is bound to. The
        advertised address may lead to another process.
    """
    incarnation = f'{own.daemon_id}/{own.run}'
    return Identity(own.host_id, bound_address, incarnation)
