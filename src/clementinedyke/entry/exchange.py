"""Sends requests to endpoints and reads the heads of their answers."""

from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
)
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, replace

import trio
from absl import logging

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.endpoint_notices import AnswerReader, EndpointNotices
from clementinedyke.entry.endpoint_protocol import (
    AnswerHead,
    EndpointProtocol,
    KvCacheReference,
    SendOptions,
)
from clementinedyke.entry.endpoint_transport import EndpointTransport
from clementinedyke.entry.examination import Examination
from clementinedyke.entry.intake import Job
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.suspects import Suspects
from clementinedyke.exceptions import (
    AnswerLostError,
    ConnectionDroppedError,
    ConnectionRefusedByPeerError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.body import AnswerHolding
from clementinedyke.http.client import (
    PORT_CLOSING_TIME,
    Framing,
    HttpRequest,
    ResponseStream,
)

#: Longest wait for the result of an examination; a connection takes about 1 ms.
EXAMINATION_TIMEOUT: Milliseconds = 50
#: Longest wait for the result if the end of an answer depends on it. A daemon
#: whose links are lost has to find that out and to ask another one.
_END_TIMEOUT: Milliseconds = 1000
_MILLISECONDS_PER_SECOND = 1000
_STATUS_REDIRECTION = 300
#: Largest answer that is forwarded whole. A host of 200 MB holds several of
#: them, each twice while it is joined.
_MAX_ANSWER_BYTES = 4194304
_MAX_RELEASE_BYTES = 65536
#: Timeout of a request that frees a KV cache.
_RELEASE_TIMEOUT: Milliseconds = 500
#: Why an answer that ended with its connection is not complete, by whether the
#: endpoint is running.
_DOUBTS: Mapping[bool | None, str] = {
    False: 'the endpoint ended with its answer',
    None: 'it is unknown whether the endpoint ended with its answer',
}


class EndpointAnswer:
    """An answer whose head matches its request; the body is still unread.

    ``is_complete`` is set once the endpoint has run the request to its end.
    """

    def __init__(
        self,
        head: AnswerHead,
        stream: ResponseStream,
        endpoint: EntryEndpoint,
        holding: AnswerHolding,
    ) -> None:
        """Create the answer; only :class:`Exchange` does so."""
        self.head = head
        self.stream = stream
        self.endpoint = endpoint
        self.is_complete = False
        #: Memory for the part of it that is buffered.
        self.holding = holding

    @property
    def is_success(self) -> bool:
        """Whether the endpoint wrote a whole answer and lives on."""
        return self.is_complete and self.head.status < _STATUS_REDIRECTION


@dataclass(slots=True)
class _Attempt:
    """A request that is being sent; ``answer`` is set once its head is read."""

    sent_at: Milliseconds
    answer: EndpointAnswer | None = None


class Exchange:
    """Sends requests over pooled connections.

    Load reports, rejections and failures of endpoints are passed on to the
    placement core.
    """

    def __init__(
        self,
        protocol: EndpointProtocol,
        placement: PlacementCore,
        clock: Clock,
        transport: EndpointTransport,
        suspects: Suspects,
        notices: EndpointNotices,
    ) -> None:
        """Create the exchange.

        :param protocol: translation of requests and answers.
        :param placement: core that is updated with load and failures.
        :param clock: clock of the host.
        :param transport: connections to the endpoints.
        :param suspects: told of each send and of lost answers.
        :param notices: told of each send and of the heads of answers.
        """
        self._notices = notices
        self._protocol = protocol
        self._placement = placement
        self._clock = clock
        self._transport = transport
        self._suspects = suspects
        #: Finds out why an endpoint lost an answer.
        self.examine: Callable[[EntryEndpoint], Examination] = _skip_examination
        #: Returns whether an endpoint runs now, None if unknown.
        self.check_running: Callable[
            [EntryEndpoint], Awaitable[bool | None]
        ] = _skip_check

    @asynccontextmanager
    async def open_answer(
        self, job: Job, options: SendOptions
    ) -> AsyncIterator[EndpointAnswer]:
        """Send a request and yield the answer.

        Leaving the context before the end of the answer closes the
        connection, which stops the work at the endpoint.

        :param job: request to send.
        :param options: endpoint and the fields to add to the request.
        :raises PeerUnavailableError: if the request was not sent.
        :raises AnswerLostError: if the request may have run and has no
            valid answer.
        :raises RequestError: if the request was evicted from memory.
        """
        job.connection.pass_on()
        endpoint = options.endpoint
        request = replace(
            self._protocol.compile_request(job.request, options),
            memory=job.connection.memory,
        )
        work = self._placement.work.get_work(endpoint)
        work.running += 1
        self._notices.limits.record_send(endpoint, self._clock.get_now())
        # A late copy of its earlier answer would bear the id of the request.
        is_repeated = endpoint.endpoint_id in job.path
        job.path.append(endpoint.endpoint_id)
        job.versions.append(endpoint.version)
        answer: EndpointAnswer | None = None
        try:
            with self._observe_attempt(job, endpoint) as attempt:
                async with self._transport.open_response(
                    endpoint, request, needs_new=is_repeated
                ) as stream:
                    _record_way(job, stream)
                    head = self._read_head(job, stream, endpoint)
                    self._notices.record_answer(
                        endpoint, head, attempt.sent_at, self._clock.get_now()
                    )
                    holding = AnswerHolding(job.connection.memory)
                    answer = EndpointAnswer(head, stream, endpoint, holding)
                    attempt.answer = answer
                    self._record_answer(endpoint, attempt.sent_at)
                    yield answer
        except PeerUnavailableError as unreachable:
            job.failures.append(str(unreachable))
            self._record_unreachable(endpoint, unreachable)
            raise
        except ProtocolError as error:
            self._record_failure(job, endpoint, error)
            raise AnswerLostError(str(error)) from error
        except AnswerLostError as lost:
            self._record_failure(job, endpoint, lost)
            raise
        finally:
            work.running -= 1
            # A whole answer may still be forwarded; the memory is given back
            # when the request ends.
            if answer is not None and not answer.is_complete:
                answer.holding.close()

    @contextmanager
    def _observe_attempt(
        self, job: Job, endpoint: EntryEndpoint
    ) -> Iterator[_Attempt]:
        """Tell the suspects of an attempt and how it ends."""
        request_id = job.request.request_id
        attempt = _Attempt(self._clock.get_now())
        self._suspects.record_start(request_id, job.fingerprint, endpoint)
        try:
            yield attempt
        except AnswerLostError:
            self.record_silence(job, endpoint)
            job.examination = self.examine(endpoint)
            raise
        except trio.Cancelled:
            # Before the deadline it is the caller who left, or an attempt that
            # the runner records.
            if self._clock.get_now() >= job.deadline:
                self.record_silence(job, endpoint)
            raise
        finally:
            self._record_end(job, attempt.answer)

    def _record_end(self, job: Job, answer: EndpointAnswer | None) -> None:
        now = self._clock.get_now()
        if answer is not None and answer.is_success:
            self._suspects.parts.record_completion(job.parts, now)
        self._suspects.record_end(
            job.request.request_id,
            now,
            is_complete=answer is not None and answer.is_complete,
        )

    def _record_unreachable(
        self, endpoint: EntryEndpoint, error: PeerUnavailableError
    ) -> None:
        now = self._clock.get_now()
        self._placement.work.record_unreachable(endpoint, now)
        if isinstance(error, ConnectionRefusedByPeerError):
            self.examine(endpoint)

    def record_silence(self, job: Job, endpoint: EntryEndpoint) -> None:
        """Record that an endpoint has not answered a request.

        :param job: request that was sent to the endpoint.
        :param endpoint: endpoint that may have ended.
        """
        self._suspects.record_lost_answer(
            endpoint,
            job.fingerprint,
            self._clock.get_now(),
            self._suspects.parts.compile_labels(
                job.request.request_id, job.parts
            ),
        )

    async def receive_body(self, answer: EndpointAnswer) -> bytes:
        """Return the body of an answer that is forwarded whole.

        :param answer: answer whose body was not read yet.
        :raises AnswerLostError: if the body breaks off or is too large.
        """
        body = await answer.stream.receive_body(
            _MAX_ANSWER_BYTES, record_size=answer.holding.record_size
        )
        await self.check_end(answer)
        return body

    async def check_end(self, answer: EndpointAnswer) -> None:
        """Check whether an answer whose body has ended is complete.

        The end of a connection may be the end of its endpoint: the kernel
        closes the connections of a killed process. This also holds for an
        endpoint that is leaving, which may be reclaimed before it is idle.

        :param answer: answer whose body was received.
        :raises AnswerLostError: if the endpoint ended, or if this is unknown.
        """
        if answer.stream.framing is not Framing.CONNECTION:
            return
        await trio.sleep(PORT_CLOSING_TIME / _MILLISECONDS_PER_SECOND)
        is_running: bool | None = None
        with trio.move_on_after(_END_TIMEOUT / _MILLISECONDS_PER_SECOND):
            is_running = await self.check_running(answer.endpoint)
        if not is_running:
            raise AnswerLostError(_DOUBTS[is_running])

    async def release(self, kv_cache: KvCacheReference) -> None:
        """Free a KV cache that no engine will fetch.

        :param memory: handle and the engine that keeps it.
        """
        now = self._clock.get_now()
        if not self._notices.may_send(kv_cache.endpoint, now):
            # The engine evicts the cache when its lifetime expires.
            return
        self._notices.limits.record_send(kv_cache.endpoint, now)
        request = self._protocol.compile_release(kv_cache)
        try:
            await self._send_release(kv_cache.endpoint, request)
        except (PeerUnavailableError, AnswerLostError, ProtocolError) as error:
            # The engine evicts the cache when its lifetime expires.
            logging.info(
                'event=memory_not_released endpoint=%s error=%s',
                kv_cache.endpoint.endpoint_id,
                error,
            )

    async def _send_release(
        self, endpoint: EntryEndpoint, request: HttpRequest
    ) -> None:
        sent_at = self._clock.get_now()
        answers = AnswerReader(self._notices, self._protocol, self._clock)
        with trio.move_on_after(_RELEASE_TIMEOUT / _MILLISECONDS_PER_SECOND):
            async with self._transport.open_response(
                endpoint, request
            ) as stream:
                answers.read(endpoint, stream, sent_at)
                await stream.receive_body(_MAX_RELEASE_BYTES)
                return
        raise AnswerLostError(f'no answer within {_RELEASE_TIMEOUT} ms')

    def _record_answer(
        self, endpoint: EntryEndpoint, sent_at: Milliseconds
    ) -> None:
        self._suspects.record_answer(endpoint, sent_at, self._clock.get_now())

    def _read_head(
        self, job: Job, stream: ResponseStream, endpoint: EntryEndpoint
    ) -> AnswerHead:
        head = self._protocol.read_head(stream.status, stream.headers)
        is_unnamed = head.request_id is None and stream.is_first
        if head.request_id != job.request.request_id and not is_unnamed:
            raise AnswerLostError('answer of another request')
        now = self._clock.get_now()
        if head.load is not None:
            self._placement.work.record_load(endpoint, head.load, now)
        if head.was_not_run:
            self._placement.work.record_rejection(endpoint, now)
        else:
            self._placement.work.record_acceptance(endpoint)
        return head

    def _record_failure(
        self, job: Job, endpoint: EntryEndpoint, error: Exception
    ) -> None:
        job.failures.append(f'{endpoint.endpoint_id}: {error}')
        if isinstance(error, ConnectionDroppedError):
            # Closing an idle connection is no sign of a faulty endpoint.
            return
        self._placement.record_failure(
            endpoint, job.request.request_id, self._clock.get_now()
        )


def _record_way(job: Job, stream: ResponseStream) -> None:
    """Keep for the log how an answer came."""
    job.framing = stream.framing
    if stream.relay is not None:
        job.relays.append(stream.relay)


def _skip_examination(endpoint: EntryEndpoint) -> Examination:
    """Return a result that is unknown, for an exchange without a prober."""
    examination = Examination(started_at=0)
    examination.finish(is_listening=None)
    return examination


async def _skip_check(endpoint: EntryEndpoint) -> bool | None:
    """Return a result that is unknown, for an exchange without a prober."""
    return _skip_examination(endpoint).is_listening
