"""Commands that send requests to the operator port of a daemon."""

import secrets
import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import cyclopts

from clementinedyke.entry.explain import compile_explanation, select_lines
from clementinedyke.operators.client import Connection
from clementinedyke.operators.failures import CommandError, ExitStatus
from clementinedyke.operators.record_files import get_key, read_records
from clementinedyke.operators.tables_output import (
    print_fields,
    print_json,
    print_table,
)
from clementinedyke.records.core import get_digest

_DEFAULT = Connection()
_KEY_SCHEMA_VERSION = 2
_KEY_NAME_BYTES = 4

record_app = cyclopts.App(name='record', help='Read and write records.')
key_app = cyclopts.App(name='key', help='Create and withdraw API keys.')


def add_commands(app: cyclopts.App) -> None:
    """Register all commands of this module.

    :param app: application that the commands are added to.
    """
    app.command(record_app)
    app.command(key_app)
    app.command(show_status, name='status')
    app.command(list_audit, name='audit')
    app.command(explain)


@record_app.command(name='put')
def put_records(
    file: Annotated[str, cyclopts.Parameter(allow_leading_hyphen=True)],
    /,
    *,
    expect_version: int | None = None,
    json: bool = False,
    connection: Connection = _DEFAULT,
) -> None:
    """Write one record, or each record of a list, from a JSON file.

    :param file: path of a JSON file, or - for standard input.
    :param expect_version: current version of the record, 0 for a new record;
        if omitted, the version is read first.
    :param json: print JSON.
    """
    for content in read_records(file):
        answer = _put(connection, content, expect_version)
        _print(answer, as_json=json)


@record_app.command(name='get')
def get_record(
    key: str, *, json: bool = False, connection: Connection = _DEFAULT
) -> None:
    """Print a record and its version.

    :param key: KIND/NAME.
    :param json: print JSON.
    """
    answer = connection.call('GET', _compile_path(key))
    if json:
        print_json(answer)
    else:
        print_fields({'version': answer['version'], **answer['record']})


@record_app.command(name='list')
def list_records(
    prefix: str = '', *, json: bool = False, connection: Connection = _DEFAULT
) -> None:
    """Print the records whose key starts with a prefix.

    :param prefix: start of the key KIND/NAME.
    :param json: print JSON.
    """
    target = f'/v1/records?prefix={quote(prefix, safe="")}'
    answer = connection.call('GET', target)
    if json:
        print_json(answer)
    else:
        print_table(('key', 'version', 'record'), answer['records'])


@record_app.command(name='delete')
def delete_record(
    key: str,
    *,
    expect_version: int | None = None,
    json: bool = False,
    connection: Connection = _DEFAULT,
) -> None:
    """Delete a record.

    :param key: KIND/NAME.
    :param expect_version: current version of the record; if omitted, the
        version is read first.
    :param json: print JSON.
    """
    version = expect_version
    if version is None:
        version = _get_version(connection, key)
    path = _compile_path(key)
    answer = connection.call('DELETE', f'{path}?expect_version={version}')
    _print(answer, as_json=json)


@key_app.command(name='create')
def create_key(
    customer: str,
    *,
    name: str = '',
    json: bool = False,
    connection: Connection = _DEFAULT,
) -> None:
    """Create an API key and print its secret, which is not stored anywhere.

    :param customer: name of the customer.
    :param name: name of the key; generated if empty.
    :param json: print JSON.
    """
    secret = secrets.token_urlsafe()
    chosen = name or f'{customer}-{secrets.token_hex(_KEY_NAME_BYTES)}'
    content = {
        'kind': 'key',
        'schema_version': _KEY_SCHEMA_VERSION,
        'name': chosen,
        'customer': customer,
        'digest': get_digest(secret),
    }
    answer = _put(connection, content, expect_version=0)
    _print({**answer, 'secret': secret}, as_json=json)


@key_app.command(name='withdraw')
def withdraw_key(
    name: str, *, json: bool = False, connection: Connection = _DEFAULT
) -> None:
    """Withdraw an API key; daemons start to refuse it within seconds.

    :param name: name of the key.
    :param json: print JSON.
    """
    current = connection.call('GET', _compile_path(f'key/{name}'))
    content = {**current['record'], 'withdrawn': True}
    answer = _put(connection, content, current['version'])
    _print(answer, as_json=json)


def show_status(
    *, json: bool = False, connection: Connection = _DEFAULT
) -> None:
    """Print the status of a daemon.

    :param json: print JSON.
    """
    _print(connection.call('GET', '/v1/status'), as_json=json)


def list_audit(
    prefix: str | None = None,
    *,
    json: bool = False,
    connection: Connection = _DEFAULT,
) -> None:
    """Print the audit entries of record changes in a period of time.

    :param prefix: start of the UTC time of the changes, for example 2026-12
        or 2026-12-03T20; defaults to the current UTC date.
    :param json: print JSON.
    """
    if prefix is None:
        prefix = datetime.now(UTC).date().isoformat()
    target = f'/v1/audit?prefix={quote(prefix, safe="")}'
    answer = connection.call('GET', target)
    if json:
        print_json(answer)
        return
    columns = (
        'time',
        'operator',
        'action',
        'record',
        'old_version',
        'new_version',
        'changes',
    )
    print_table(columns, answer['audit'])


def explain(
    request_id: str,
    *,
    json: bool = False,
    log: tuple[str, ...] = (),
    connection: Connection = _DEFAULT,
) -> None:
    """Print how a request was routed and how it ended.

    :param request_id: value of the header Clementinedyke-Request-Id, or the
        caller's own id if a log is given.
    :param json: print JSON.
    :param log: file with log lines of entry daemons, or - for standard input;
        repeatable. If omitted, the daemon is queried.
    """
    if log:
        lines = list(_read_logs(log))
        if json:
            print_json({'lines': select_lines(lines, request_id)})
        else:
            sys.stdout.write(f'{compile_explanation(lines, request_id)}\n')
        return
    target = f'/v1/explain/{quote(request_id, safe="")}'
    _print(connection.call('GET', target), as_json=json)


def _read_logs(paths: tuple[str, ...]) -> Iterator[str]:
    for path in paths:
        if path == '-':
            yield from sys.stdin
            continue
        try:
            with Path(path).open(encoding='utf-8', errors='replace') as lines:
                yield from lines
        except OSError as error:
            raise CommandError(
                f'cannot read log file {path}: {error}', ExitStatus.USAGE
            ) from error


def _put(
    connection: Connection,
    content: dict[str, Any],
    expect_version: int | None,
) -> dict[str, Any]:
    key = get_key(content)
    version = expect_version
    if version is None:
        version = _get_version(connection, key)
    path = _compile_path(key)
    return connection.call('PUT', f'{path}?expect_version={version}', content)


def _get_version(connection: Connection, key: str) -> int:
    target = f'/v1/records?prefix={quote(key, safe="")}'
    for row in connection.call('GET', target)['records']:
        if row['key'] == key:
            return int(row['version'])
    return 0


def _compile_path(key: str) -> str:
    return f'/v1/records/{quote(key)}'


def _print(answer: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        print_json(answer)
    else:
        print_fields(answer)
