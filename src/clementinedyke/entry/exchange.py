"""One send of a request to an endpoint, and the answer to it."""

from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from absl import logging

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.endpoint_protocol import (
    AnswerHead,
    EndpointProtocol,
    PromptMemory,
    SendOptions,
)
from clementinedyke.entry.intake import Job
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.exceptions import (
    AnswerLostError,
    ConnectionDroppedError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import HttpClient, ResponseStream
from clementinedyke.http.connection_rest import ConnectionRest

#: Longest wait for a connection: hosts and endpoints are about a millisecond
#: apart, and a lost opening packet is sent again after a second only.
_CONNECT_TIMEOUT: Milliseconds = 250
#: Longest wait for the answer to a call that frees memory.
_RELEASE_TIMEOUT: Milliseconds = 500


class EndpointAnswer:
    """An answer that belongs to the request; its body is still read."""

    def __init__(
        self, head: AnswerHead, stream: ResponseStream, endpoint: EntryEndpoint
    ) -> None:
        """Create the answer; called by :class:`Exchange` only."""
        self.head = head
        self.stream = stream
        self.endpoint = endpoint


class Exchange:
    """Sends requests over kept connections and counts the work."""

    def __init__(
        self,
        protocol: EndpointProtocol,
        placement: PlacementCore,
        clock: Clock,
        get_max_idle: Callable[[str], int],
    ) -> None:
        """Create the exchange.

        :param protocol: translation of requests and answers.
        :param placement: core that learns of work, loads and failures.
        :param clock: clock of the host.
        :param get_max_idle: returns how many connections are kept to one
            endpoint of a service.
        """
        self._protocol = protocol
        self._placement = placement
        self._clock = clock
        self._get_max_idle = get_max_idle
        #: Endpoints of one service drop connections alike.
        self._rests: defaultdict[str, ConnectionRest] = defaultdict(
            ConnectionRest
        )
        self._clients: dict[str, HttpClient] = {}

    @asynccontextmanager
    async def open_answer(
        self, job: Job, options: SendOptions
    ) -> AsyncIterator[EndpointAnswer]:
        """Send a request and give the answer.

        The endpoint stops the work if the context ends before the answer.

        :param job: request to send.
        :param options: endpoint and what is added to the request.
        :raises PeerUnavailableError: if nothing was sent.
        :raises AnswerLostError: if the request may have run.
        """
        endpoint = options.endpoint
        request = self._protocol.compile_request(job.request, options)
        work = self._placement.work.get_work(endpoint)
        work.running += 1
        job.path.append(endpoint.endpoint_id)
        try:
            async with self._get_client(endpoint).open_response(
                request
            ) as stream:
                head = self._read_head(job, stream, endpoint)
                yield EndpointAnswer(head, stream, endpoint)
        except PeerUnavailableError as unreachable:
            job.failures.append(str(unreachable))
            self._placement.work.record_unreachable(
                endpoint, self._clock.get_now()
            )
            raise
        except ProtocolError as error:
            self._note_failure(job, endpoint, error)
            raise AnswerLostError(str(error)) from error
        except AnswerLostError as lost:
            self._note_failure(job, endpoint, lost)
            raise
        finally:
            work.running -= 1

    def has_connection(self, endpoint: EntryEndpoint) -> bool:
        """Tell whether a connection to an endpoint waits for a request.

        :param endpoint: any endpoint.
        """
        client = self._clients.get(endpoint.run_id)
        return client is not None and client.has_idle

    async def release(self, memory: PromptMemory) -> None:
        """Free prompt memory that is not going to be taken.

        :param memory: handle and the engine that keeps it.
        """
        client = self._get_client(memory.endpoint)
        request = self._protocol.compile_release(memory)
        try:
            await client.request(request, _RELEASE_TIMEOUT)
        except (PeerUnavailableError, AnswerLostError, ProtocolError) as error:
            # The engine frees it by itself when its lifetime has passed.
            logging.info(
                'event=memory_not_released endpoint=%s error=%s',
                memory.endpoint.endpoint_id,
                error,
            )

    async def forget_endpoints(self, present: set[str]) -> None:
        """Close the connections to endpoints that are gone.

        :param present: runs of endpoints that are still there.
        """
        for run_id in set(self._clients) - present:
            await self._clients.pop(run_id).close()

    async def close(self) -> None:
        """Close all idle connections."""
        await self.forget_endpoints(set())

    def _get_client(self, endpoint: EntryEndpoint) -> HttpClient:
        client = self._clients.get(endpoint.run_id)
        if client is None:
            client = HttpClient(
                endpoint.address,
                connect_timeout=_CONNECT_TIMEOUT,
                max_idle=self._get_max_idle(endpoint.service),
                rest=self._rests[endpoint.service],
            )
            self._clients[endpoint.run_id] = client
        return client

    def _read_head(
        self, job: Job, stream: ResponseStream, endpoint: EntryEndpoint
    ) -> AnswerHead:
        head = self._protocol.read_head(stream.status, stream.headers)
        if head.request_id not in {None, job.request.request_id}:
            raise AnswerLostError('answer of another request')
        now = self._clock.get_now()
        if head.load is not None:
            self._placement.work.record_load(endpoint, head.load, now)
        if head.was_not_run:
            self._placement.work.record_rejection(endpoint, now)
        else:
            self._placement.work.record_acceptance(endpoint)
        return head

    def _note_failure(
        self, job: Job, endpoint: EntryEndpoint, error: Exception
    ) -> None:
        job.failures.append(f'{endpoint.endpoint_id}: {error}')
        if isinstance(error, ConnectionDroppedError):
            # An endpoint that drops idle connections is sound otherwise.
            return
        self._placement.record_failure(
            endpoint, job.request.request_id, self._clock.get_now()
        )
