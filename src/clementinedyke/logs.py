"""Structured key=value log lines."""

import json
import logging as standard_logging
from typing import Any

from absl import flags, logging

#: Characters that require a value of a key=value pair to be quoted.
_QUOTED_CHARACTERS = frozenset((' ', '"', '=', '\\', '\n', '\r', '\t'))


#: Characters of a traceback that are logged; its end names the error.
_MAX_TRACEBACK = 2000


class KeyValueFormatter(standard_logging.Formatter):
    """Formats records as key=value pairs, starting with time and level."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the log line of a record.

        :param record: record whose message consists of key=value pairs.
        """
        time = self.formatTime(record, '%Y-%m-%dT%H:%M:%S%z')
        message = record.getMessage().replace('\n', ' ')
        line = f'time={time} level={record.levelname.lower()} {message}'
        if record.exc_info is None:
            return line
        text = self.formatException(record.exc_info)
        return f'{line} traceback={json.dumps(text[-_MAX_TRACEBACK:])}'


def set_up_logging(level: str) -> None:
    """Write key=value log lines to standard error.

    :param level: lowest level that is written: ``debug``, ``info``,
        ``warning`` or ``error``.
    """
    # Otherwise absl warns that its own flags were not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter())
    logging.set_verbosity(level)


def log_event(event: str, /, **pairs: Any) -> None:
    """Log an event at level info.

    :param event: name of the event in snake case.
    :param pairs: further keys and values; must not contain secrets.
    """
    logging.info('%s', compile_line(event, pairs))


def log_fault(event: str, /, **pairs: Any) -> None:
    """Log an event that needs an operator's attention, at level error.

    :param event: name of the event in snake case.
    :param pairs: further keys and values; must not contain secrets.
    """
    logging.error('%s', compile_line(event, pairs))


def compile_line(event: str, pairs: dict[str, Any]) -> str:
    """Return an event and its pairs as a line of ``key=value`` pairs.

    :param event: name of the event.
    :param pairs: further keys and values, written in this order.
    """
    parts = [f'event={event}']
    for key, content in pairs.items():
        parts.append(f'{key}={_quote(str(content))}')
    return ' '.join(parts)


def _quote(text: str) -> str:
    if not text or _QUOTED_CHARACTERS.intersection(text):
        return json.dumps(text)
    return text
