"""Estimates the tokens that a request costs its endpoint."""

import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from clementinedyke.quarantine.fingerprint import compute_fingerprint
from clementinedyke.quarantine.parts import compute_part_digest
from clementinedyke.routing.prefix_index import compute_block_hashes

#: Average size of a token in text.
_BYTES_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256
_MESSAGES_KEY = b'"messages"'
#: Cost of a request to a plain service in tokens, for fair queueing.
_PLAIN_TOKENS = 100
#: Messages of a chat that are compared with those of other chats.
_MAX_PARTS = 64


@dataclass(frozen=True, slots=True)
class Work:
    """Estimated tokens of a request and hashes of its content.

    ``block_hashes`` identify the prefix blocks of the prompt, and
    ``fingerprint`` is the digest of customer, service, target and body.
    ``parts`` has digests of the messages that other chats may contain, all but
    the last one.
    """

    fingerprint: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    block_hashes: tuple[int, ...] = ()
    parts: tuple[str, ...] = ()


def estimate_plain_work(labels: Sequence[str], body: bytes) -> Work:
    """Return the estimated work of a request to a plain service.

    :param labels: customer, service, method and target of the request.
    :param body: body as received.
    """
    fingerprint = compute_fingerprint(labels, body)
    return Work(fingerprint, prompt_tokens=_PLAIN_TOKENS)


def estimate_chat_work(
    customer: str, service: str, body: bytes, content: Mapping[str, Any]
) -> Work:
    """Return the estimated work of a chat request.

    :param customer: customer of the request.
    :param service: name of the service.
    :param body: body as received.
    :param content: decoded body.
    """
    prompt = body[max(0, body.find(_MESSAGES_KEY)) :]
    limit = content.get('max_tokens') or content.get('max_completion_tokens')
    output = limit if isinstance(limit, int) else _DEFAULT_OUTPUT_TOKENS
    salt = f'{customer}/{content["model"]}'.encode()
    return Work(
        fingerprint=compute_fingerprint((customer, service), body),
        prompt_tokens=len(prompt) // _BYTES_PER_TOKEN,
        output_tokens=max(0, output),
        block_hashes=compute_block_hashes(prompt, salt),
        parts=_compute_parts(service, content['messages']),
    )


def _compute_parts(service: str, messages: Sequence[Any]) -> tuple[str, ...]:
    """Return the digests of all messages but the last one."""
    try:
        texts = [
            msgspec.json.encode(message).decode()
            for message in itertools.islice(messages[:-1], _MAX_PARTS)
        ]
    except RecursionError:
        # The engine will refuse what is nested so deeply.
        return ()
    return tuple(compute_part_digest(service, text) for text in texts)
