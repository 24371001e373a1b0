"""Structured log lines for changes of state."""

import json
import logging as standard_logging
from typing import Any

from absl import flags, logging

#: Characters that make a value ambiguous in a line of key=value pairs.
_QUOTED_CHARACTERS = frozenset((' ', '"', '=', '\\', '\n', '\r', '\t'))


class KeyValueFormatter(standard_logging.Formatter):
    """Puts time and level as pairs before the pairs of the event."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return one line.

        :param record: record whose message is made of key=value pairs.
        """
        time = self.formatTime(record, '%Y-%m-%dT%H:%M:%S%z')
        message = record.getMessage().replace('\n', ' ')
        return f'time={time} level={record.levelname.lower()} {message}'


def set_up_logging(level: str) -> None:
    """Write log lines of one format to standard error.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    # Without this, absl warns that its own flags were not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter())
    logging.set_verbosity(level)


def log_event(event: str, /, **pairs: Any) -> None:
    """Log a change of state at level info.

    :param event: name of the event in snake case.
    :param pairs: what belongs to the event; never a secret.
    """
    logging.info('%s', compile_line(event, pairs))


def log_fault(event: str, /, **pairs: Any) -> None:
    """Log a change of state that needs an operator at level error.

    :param event: name of the event in snake case.
    :param pairs: what belongs to the event; never a secret.
    """
    logging.error('%s', compile_line(event, pairs))


def compile_line(event: str, pairs: dict[str, Any]) -> str:
    """Return an event and its pairs as ``key=value`` text.

    :param event: name of the event.
    :param pairs: further pairs in order.
    """
    parts = [f'event={event}']
    for key, content in pairs.items():
        parts.append(f'{key}={_quote(str(content))}')
    return ' '.join(parts)


def _quote(text: str) -> str:
    if not text or _QUOTED_CHARACTERS.intersection(text):
        return json.dumps(text)
    return text
