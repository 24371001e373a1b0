"""Encodes server-sent events of the engine stand-in."""

import json
from collections.abc import Iterator
from typing import Any


def encode_event(
    model: str,
    choices: list[dict[str, Any]],
    usage: dict[str, int] | None = None,
) -> bytes:
    """Return one event of a streamed response.

    :param model: model name in the event.
    :param choices: choices in the format of the chat completions API.
    :param usage: token counts, for the last event only.
    """
    answer = {
        'id': 'chatcmpl-standin',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': model,
        'choices': choices,
    }
    if usage:
        answer['usage'] = usage
    return f'data: {json.dumps(answer)}\n\n'.encode()


def encode_word_events(
    model: str, count: int, word: str = 'word'
) -> Iterator[bytes]:
    """Yield an event for each word, then the event that ends the choice.

    :param model: model name in the events.
    :param count: number of words.
    :param word: text that each word begins with; its number follows.
    """
    # Encodes JSON once and fills in each word: encoding every event would
    # make the stand-in the bottleneck of a benchmark.
    placeholder = 'WORD'
    template = encode_event(
        model, [{'index': 0, 'delta': {'content': placeholder}}]
    )
    head, _, tail = template.partition(placeholder.encode())
    escaped = json.dumps(word)[1:-1].encode()
    for index in range(count):
        yield b'%b%b%d %b' % (head, escaped, index, tail)
    final = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    yield encode_event(model, [final])
