"""Server-sent events of the engine stand-in."""

import json
from collections.abc import Iterator
from typing import Any


def encode_event(
    model: str,
    choices: list[dict[str, Any]],
    usage: dict[str, int] | None = None,
) -> bytes:
    """Return one event of a streamed answer.

    :param model: model name in the event.
    :param choices: choices as the chat protocol has them.
    :param usage: token counts, in the last event only.
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
    """Yield an event for each word, and the one that ends the choice.

    :param model: model name in the events.
    :param count: number of words.
    :param word: what each word begins with.
    """
    # One event is encoded and filled in, so that the stand-in is not the
    # bottleneck of a benchmark.
    mark = 'WORD'
    template = encode_event(model, [{'index': 0, 'delta': {'content': mark}}])
    head, _, tail = template.partition(mark.encode())
    escaped = json.dumps(word)[1:-1].encode()
    for index in range(count):
        yield b'%b%b%d %b' % (head, escaped, index, tail)
    final = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    yield encode_event(model, [final])
