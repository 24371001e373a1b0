"""End-to-end tests of requests from a caller to an endpoint."""

import json
from typing import Any
from urllib import error, request

import openai
import pytest
import trio

from clementinedyke.callers.collector import ResponseCollector
from clementinedyke.codes import ResultCode
from clementinedyke.http.client import Headers
from clementinedyke.http.message import RequestError, write_error


def post(
    url: str, key: str, content: Any = None, idempotency_key: str = ''
) -> tuple[int, Any]:
    """Return the status and the JSON body of a POST."""
    headers = {'Authorization': f'Bearer {key}'}
    if idempotency_key:
        headers['Idempotency-Key'] = idempotency_key
    call = request.Request(
        url,
        data=json.dumps(content or {}).encode(),
        headers=headers,
    )
    try:
        with request.urlopen(call, timeout=10) as answer:
            return answer.status, json.load(answer)
    except error.HTTPError as refusal:
        return refusal.code, json.load(refusal)


@pytest.fixture(name='client')
def create_client(demo: dict[str, str]) -> openai.OpenAI:
    """Return an unmodified OpenAI client."""
    return openai.OpenAI(
        base_url=demo['base_url'], api_key=demo['api_key'], max_retries=0
    )


class TestChatPath:
    """Guards against failures between an OpenAI client and an engine."""

    def test_non_streamed_response(
        self, client: openai.OpenAI, demo: dict[str, str]
    ) -> None:
        """A non-streamed response contains the text and the usage."""
        answer = client.chat.completions.create(
            model=demo['model'],
            messages=[{'role': 'user', 'content': 'hello'}],
            max_tokens=3,
        )
        assert answer.choices[0].message.content == 'word0 word1 word2 '
        assert answer.usage is not None
        assert answer.usage.completion_tokens == 3

    def test_streamed_response(
        self, client: openai.OpenAI, demo: dict[str, str]
    ) -> None:
        """All chunks of a stream arrive in order."""
        stream = client.chat.completions.create(
            model=demo['model'],
            messages=[{'role': 'user', 'content': 'hello'}],
            max_tokens=5,
            stream=True,
        )
        words = [
            chunk.choices[0].delta.content or ''
            for chunk in stream
            if chunk.choices
        ]
        assert ''.join(words) == 'word0 word1 word2 word3 word4 '

    def test_unknown_model(self, client: openai.OpenAI) -> None:
        """An unknown model is refused with 404, not sent to another engine."""
        with pytest.raises(openai.NotFoundError):
            client.chat.completions.create(
                model='missing', messages=[{'role': 'user', 'content': 'x'}]
            )

    def test_unknown_key(self, demo: dict[str, str]) -> None:
        """An API key without a record is refused."""
        client = openai.OpenAI(
            base_url=demo['base_url'], api_key='wrong', max_retries=0
        )
        with pytest.raises(openai.AuthenticationError):
            client.models.list()

    def test_body_without_messages(self, demo: dict[str, str]) -> None:
        """A chat body without messages is refused with 400 and code 2004."""
        status, answer = post(
            f'{demo["base_url"]}/chat/completions',
            demo['api_key'],
            {'model': demo['model']},
        )
        assert status == 400
        assert answer['error']['code'] == 2004


class TestServicePath:
    """Guards against failures between a caller and a plain service."""

    def test_post_runs_once(self, demo: dict[str, str]) -> None:
        """Each request without an idempotency key runs exactly once."""
        url = demo['base_url'].removesuffix('/v1')
        target = f'{url}/services/{demo["service"]}/slots'
        first = post(target, demo['api_key'])
        second = post(target, demo['api_key'])
        assert first[0] == 201
        assert second[1]['run'] == first[1]['run'] + 1

    def test_repeat_gets_stored_response(self, demo: dict[str, str]) -> None:
        """A repeated idempotency key returns the response without a new run."""
        url = demo['base_url'].removesuffix('/v1')
        target = f'{url}/services/{demo["service"]}/slots'
        first = post(target, demo['api_key'], {'slot': 1}, 'booking-1')
        repeat = post(target, demo['api_key'], {'slot': 1}, 'booking-1')
        assert first[0] == 201
        assert repeat == first

    def test_key_reused_with_other_body_refused(
        self, demo: dict[str, str]
    ) -> None:
        """A key that was used with another body is refused with 422."""
        url = demo['base_url'].removesuffix('/v1')
        target = f'{url}/services/{demo["service"]}/slots'
        post(target, demo['api_key'], {'slot': 1}, 'booking-2')
        status, answer = post(target, demo['api_key'], {'slot': 2}, 'booking-2')
        assert status == 422
        assert answer['error'] == {
            'message': 'The Idempotency-Key belongs to another request.',
            'type': 'not_run',
            'code': 2010,
        }


class RefusalWriter(ResponseCollector):
    """Stores the status and headers of an error response."""

    async def send_json(
        self, status: int, content: Any, headers: Headers = ()
    ) -> None:
        """Store the status and headers."""
        self.status = status
        self.headers = dict(headers)


class TestRefusals:
    """Guards against refusals without a Retry-After header."""

    def test_no_endpoint_sends_retry_after(self) -> None:
        """A 503 without a computed wait has the default Retry-After."""
        writer = RefusalWriter()
        error = RequestError(ResultCode.NO_ENDPOINT, 'no endpoint')
        trio.run(write_error, writer, error)
        assert writer.status == 503
        assert writer.headers[b'Retry-After'] == b'1'
