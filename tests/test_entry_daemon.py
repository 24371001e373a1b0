"""Tests of a complete entry daemon against platform stand-ins."""

import copy

import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.platform_standin import (
    EndpointStandin,
    StoreStandin,
    lose_answer,
    never_answer,
    send_document,
    serve,
)

from clementinedyke.http.client import AnswerLostError
from clementinedyke.http.message import ResponseWriter, ServerRequest


def change_configuration(version: int, **changes: object) -> dict:
    """Return the configuration with another version and changed fields."""
    return {**copy.deepcopy(CONFIGURATION), 'version': version, **changes}


def run_scenario(scenario: object) -> None:
    """Run a scenario with a configured daemon."""

    async def main(env: EntryEnvironment) -> None:
        await env.open()
        await scenario(env)

    ScenarioRunner().run(main)


async def reject_request(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Answer 503 with the header that states that nothing was run."""
    echo = (b'X-Request-Id', request.get_header(b'x-request-id').encode())
    await send_document(response, 503, {}, echo, (b'X-Not-Executed', b'1'))
    return True


async def break_stream(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Send two events and part of a third, then close the connection."""
    await endpoint.stream(request, response, 2)
    await response.send_chunk(b'id: 3\nda')
    raise trio.BrokenResourceError('the engine crashed')


class TestRequestRouting:
    """Guards against requests that are misrouted or not answered."""

    def test_prefill_result_reaches_decode_engine(self) -> None:
        """A decode engine gets the KV cache of the prefill engine."""

        async def scenario(env: EntryEnvironment) -> None:
            answer = await env.send_request('/ask/1', x_tenant='forged')
            reader = env.endpoints['reader']
            writer = env.endpoints['writer']
            headers = dict(answer.headers)
            assert answer.status == 200
            assert headers[b'x-server-signature'] == b'signed'
            assert answer.body.count(b'data: x') == 3
            assert reader.received[0].get_header(b'x-stage') == 'prefill'
            source = writer.received[0].get_header(b'x-kv-source')
            assert source.startswith(f'127.0.0.1:{reader.port}/h-')
            assert writer.received[0].get_header(b'x-tenant') == 'loft'
            assert writer.received[0].get_header(b'x-key') is None
            assert writer.runs == ['r-1']

        run_scenario(scenario)

    def test_unknown_key_and_route_reach_no_endpoint(self) -> None:
        """Requests with an unknown key or route are denied by the daemon."""

        async def scenario(env: EntryEnvironment) -> None:
            unknown_key = await env.send_request('/read/1', x_key='other')
            unknown_route = await env.send_request('/none/1')
            assert (unknown_key.status, unknown_route.status) == (401, 404)
            assert not env.endpoints['ledger-1'].received
            assert not env.endpoints['ledger-2'].received

        run_scenario(scenario)

    def test_no_denial_without_configuration(self) -> None:
        """A daemon without configuration asks callers to retry."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.start_daemon()
            answer = await env.send_request('/read/1', x_key='other')
            assert answer.status == 503
            assert b'retry-after' in dict(answer.headers)

        ScenarioRunner().run(scenario)

    def test_withdrawn_key_after_lost_feed_history(self) -> None:
        """A withdrawn key is denied after the store lost its feed history.

        An older version of the configuration must not restore it.
        """

        async def scenario(env: EntryEnvironment) -> None:
            tenants = [{'name': 'loft', 'api_keys': ['key-2']}]
            env.store.put(
                'op', 'config', change_configuration(4, tenants=tenants)
            )
            env.store.drop_history()
            answer = await env.send_request('/read/1')
            while answer.status != 401:
                await trio.sleep(0.02)
                answer = await env.send_request('/read/1')
            late = change_configuration(3)
            env.store.put('op', 'config', late)
            await trio.sleep(0.2)
            assert (await env.send_request('/read/1')).status == 401
            assert (
                await env.send_request('/read/1', x_key='key-2')
            ).status == 200

        run_scenario(scenario)

    def test_draining_endpoint_gets_no_requests(self) -> None:
        """A draining endpoint gets no further requests."""

        async def scenario(env: EntryEnvironment) -> None:
            leaving = env.endpoints['ledger-1']
            env.register(leaving, state='draining')
            await trio.sleep(0.2)
            for number in range(6):
                await env.send_request('/read/1', f'r-{number}')
            assert not leaving.received
            assert len(env.endpoints['ledger-2'].runs) == 6

        run_scenario(scenario)

    def test_stale_endpoint_address(self) -> None:
        """A 421 of another endpoint at a reused address causes a retry."""

        async def scenario(env: EntryEnvironment) -> None:
            for number in (1, 2):
                old = env.endpoints[f'ledger-{number}']
                old.endpoint_id = f'moved-{number}'
            fresh = EndpointStandin('ledger-3')
            await env.add_endpoint(fresh)
            await trio.sleep(0.2)
            assert (await env.send_request('/read/1')).status == 200
            assert fresh.runs == ['r-1']

        run_scenario(scenario)


class TestAtMostOnce:
    """Guards against duplicate runs and false reports that nothing ran."""

    def test_lost_answer_is_not_retried(self) -> None:
        """A request that may run once only is answered 502 without a retry."""

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('ledger-1', 'ledger-2'):
                env.endpoints[name].override = lose_answer
            answer = await env.send_request('/book/1')
            runs = [
                run
                for name in ('ledger-1', 'ledger-2')
                for run in env.endpoints[name].runs
            ]
            assert runs == ['r-1']
            assert answer.status == 502

        run_scenario(scenario)

    def test_lost_answer_of_repeatable_request(self) -> None:
        """A repeatable request with a lost answer runs on another endpoint."""

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['ledger-1'].override = lose_answer
            for number in range(4):
                answer = await env.send_request('/read/1', f'r-{number}')
                assert answer.body == b'ledger-2'

        run_scenario(scenario)

    def test_unresponsive_endpoint_is_abandoned(self) -> None:
        """A repeatable request must not wait until its deadline.

        After a network partition of a zone, requests on open connections to
        its endpoints waited until their deadlines.
        """

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['ledger-1'].override = never_answer
            for number in range(4):
                answer = await env.send_request('/read/1', f'r-{number}')
                assert answer.body == b'ledger-2'

        run_scenario(scenario)

    def test_unresponsive_endpoint_is_not_retried(self) -> None:
        """A request that may run once only waits until its deadline."""

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('ledger-1', 'ledger-2'):
                env.endpoints[name].override = never_answer
            answer = await env.send_request('/book/1', x_deadline_ms='500')
            assert answer.status == 504
            received = [len(item.received) for item in env.endpoints.values()]
            assert sum(received) == 1

        run_scenario(scenario)

    def test_last_endpoint_failure_is_forwarded(self) -> None:
        """An error answer is forwarded if no other endpoint can answer."""

        async def fail(
            endpoint: EndpointStandin,
            request: ServerRequest,
            response: ResponseWriter,
        ) -> bool:
            name = request.get_header(b'x-request-id').encode()
            headers = [(b'X-Request-Id', name), (b'X-Server-Signature', b's')]
            await response.send_response(500, headers, b'the desk failed')
            return True

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['ledger-1'].override = fail
            env.register(env.endpoints['ledger-2'], address='127.0.0.1:1')
            await trio.sleep(0.3)
            answer = await env.send_request('/read/1')
            assert answer.body == b'the desk failed'
            assert answer.status == 500

        run_scenario(scenario)

    def test_rejected_request_is_retried(self) -> None:
        """A rejected request that may run once only runs elsewhere."""

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['ledger-1'].override = reject_request
            for number in range(3):
                answer = await env.send_request('/book/1', f'r-{number}')
                assert answer.body == b'ledger-2'

        run_scenario(scenario)

    def test_rejection_by_all_endpoints(self) -> None:
        """If all endpoints are full the caller gets a retry delay."""

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('ledger-1', 'ledger-2'):
                env.endpoints[name].override = reject_request
            answer = await env.send_request('/book/1')
            assert answer.status == 429
            assert float(dict(answer.headers)[b'retry-after']) > 0

        run_scenario(scenario)

    def test_mismatched_request_id(self) -> None:
        """An answer with another request id must not reach the caller."""

        async def answer_with_other_id(
            endpoint: EndpointStandin,
            request: ServerRequest,
            response: ResponseWriter,
        ) -> bool:
            headers = [
                (b'X-Request-Id', b'other'),
                (b'X-Server-Signature', b's'),
            ]
            await response.send_response(200, headers, b'not yours')
            return True

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('ledger-1', 'ledger-2'):
                env.endpoints[name].override = answer_with_other_id
            answer = await env.send_request('/book/1')
            assert answer.status == 502
            assert b'not yours' not in answer.body

        run_scenario(scenario)

    def test_failed_connects_spend_no_retry_budget(self) -> None:
        """Failed connection attempts must not use up the retry budget.

        After a network partition of a zone, requests were refused because
        connections that were never opened had used up the budget.
        """

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('ledger-1', 'ledger-2'):
                env.register(env.endpoints[name], zone='zone-b')
            for number in range(80):
                env.register(EndpointStandin(f'gone-{number}', port=1))
            await trio.sleep(0.3)
            for name in ('a', 'b', 'c'):
                answer = await env.send_request('/book/1', name)
                assert answer.status == 200

        run_scenario(scenario)

    def test_unsigned_answer_is_not_a_rejection(self) -> None:
        """An unsigned 503 does not prove that the request was not run."""

        async def answer_unsigned(
            endpoint: EndpointStandin,
            request: ServerRequest,
            response: ResponseWriter,
        ) -> bool:
            endpoint.runs.append(request.get_header(b'x-request-id'))
            await send_document(response, 503, {})
            return True

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('ledger-1', 'ledger-2'):
                env.endpoints[name].override = answer_unsigned
            assert (await env.send_request('/book/1')).status == 502

        run_scenario(scenario)


class TestStreamIntegrity:
    """Guards against corrupted, incomplete or truncated streams."""

    def test_resume_after_broken_event(self) -> None:
        """A resumable stream continues after the last complete event."""

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['writer'].override = break_stream
            second = EndpointStandin('writer-2', 'decode')
            await env.add_endpoint(second)
            await trio.sleep(0.2)
            bodies = [
                (await env.send_request('/resumable/1', f'r-{number}')).body
                for number in range(4)
            ]
            expected = b''.join(
                b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3)
            )
            assert bodies == [expected, expected, expected, expected]
            assert env.endpoints['writer'].received

        run_scenario(scenario)

    def test_unresponsive_engine_is_abandoned(self) -> None:
        """A resumable stream is retried if an engine does not answer."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.add_endpoint(EndpointStandin('other', 'decode'))
            await trio.sleep(0.3)
            env.endpoints['writer'].override = never_answer
            for number in range(4):
                answer = await env.send_request('/resumable/1', f'r-{number}')
                assert answer.status == 200
                assert answer.body.count(b'data: x') == 3

        run_scenario(scenario)

    def test_truncated_stream_is_not_ended(self) -> None:
        """A stream that cannot be resumed must not look complete."""

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['writer'].override = break_stream
            try:
                answer = await env.send_request('/ask/1')
            except AnswerLostError:
                return
            raise AssertionError(
                f'stream ended normally, status {answer.status}'
            )

        run_scenario(scenario)

    def test_expired_kv_cache_is_prefilled_again(self) -> None:
        """A prompt is prefilled again if its KV cache has expired."""

        async def reject_first_kv_cache(
            endpoint: EndpointStandin,
            request: ServerRequest,
            response: ResponseWriter,
        ) -> bool:
            source = request.get_header(b'x-kv-source') or ''
            if source.endswith('/h-1'):
                return await reject_request(endpoint, request, response)
            return False

        async def scenario(env: EntryEnvironment) -> None:
            for name in ('writer', 'writer-2'):
                writer = env.endpoints.get(name) or EndpointStandin(
                    name, 'decode'
                )
                writer.override = reject_first_kv_cache
                if name not in env.endpoints:
                    await env.add_endpoint(writer)
            await env.add_endpoint(EndpointStandin('reader-2', 'prefill'))
            await trio.sleep(0.2)
            answer = await env.send_request('/ask/1')
            assert answer.status == 200
            assert answer.body.count(b'data: x') == 3

        run_scenario(scenario)

    def test_rejected_prefills_stay_in_budget(self) -> None:
        """Rejected prefills must not exceed the retry budget.

        Engines that changed their stage rejected the prefills of all
        requests: 123 retries where 99 were allowed (fault search, scale-1
        --seed 718327536026).
        """

        async def scenario(env: EntryEnvironment) -> None:
            reader = env.endpoints['reader']
            writer = env.endpoints['writer']
            reader.override = reject_request
            for number in range(90):
                await env.send_request('/ask/1', f'r-{number}')
            arrivals = len(reader.received) + len(writer.received)
            assert arrivals - 90 <= 0.2 * 90 + 54

        run_scenario(scenario)

    def test_unused_kv_cache_is_freed(self) -> None:
        """A KV cache that no engine fetches is freed before it expires."""

        async def scenario(env: EntryEnvironment) -> None:
            env.endpoints['writer'].override = reject_request
            answer = await env.send_request('/ask/1')
            assert answer.status == 429
            reader = env.endpoints['reader']
            await env.wait_for(lambda: reader.released)

        run_scenario(scenario)


class TestUsageReports:
    """Guards against usage that is not reported."""

    def test_usage_is_reported_for_customer(self) -> None:
        """Requests that ran are reported for their customer."""

        async def scenario(env: EntryEnvironment) -> None:
            for number in range(5):
                await env.send_request('/read/1', f'r-{number}')
            await env.wait_for(lambda: env.duties.calls)
            path, report = env.duties.calls[0]
            assert path == '/usage'
            assert set(report['counts']) == {'loft'}

        run_scenario(scenario)


async def start_with_separate_stores(env: EntryEnvironment) -> StoreStandin:
    """Start two daemons; return the store used by the first one only.

    It shares rows and history with the environment's store.
    """
    first_store = StoreStandin()
    first_store.rows = env.store.rows
    first_store.history = env.store.history
    first_store.version = env.store.version
    port = await serve(env.nursery, first_store.respond)
    await env.start_daemon('host-1', store_port=port)
    await env.wait_until_served()
    await env.start_daemon('host-2')
    await env.wait_for(lambda: ('daemons', 'host-2') in env.store.rows)
    return first_store


class TestConfigurationFromPeers:
    """Guards against a stale configuration while the store rejects a daemon."""

    def test_withdrawn_key_during_store_outage(self) -> None:
        """A daemon rejected by the store gets a withdrawal from its peer."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            first_store = await start_with_separate_stores(env)
            await trio.sleep(0.5)
            first_store.refusal_status = 503
            tenants = [{'name': 'loft', 'api_keys': ['key-2']}]
            env.store.put(
                'op', 'config', change_configuration(9, tenants=tenants)
            )
            answer = await env.send_request('/read/1')
            while answer.status != 401:
                await trio.sleep(0.05)
                answer = await env.send_request('/read/1')

        ScenarioRunner().run(scenario)
