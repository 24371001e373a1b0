"""HTTP routes of the operator port."""

import hmac
import json
import re
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs, unquote

from clementinedyke.codes import ResultCode
from clementinedyke.http.server import ResponseWriter, ServerRequest
from clementinedyke.logs import log_event
from clementinedyke.operators.answers import (
    Answer,
    compile_answer,
    create_refusal,
    create_success,
    describe_audit,
    describe_record,
)
from clementinedyke.operators.providers import OperatorReports
from clementinedyke.operators.record_service import RecordService

_RECORDS_PATH = '/v1/records'
_EXPLAIN_PREFIX = '/v1/explain/'
_OK = 200
_UNAVAILABLE = 503
_METRICS_TYPE = (b'Content-Type', b'text/plain; version=0.0.4; charset=utf-8')
#: At most 18 digits, so that the version fits into 64 bits, the limit of the
#: table service.
_VERSION = re.compile('[0-9]{1,18}')
#: Characters; longer names are truncated.
_MAX_OPERATOR_NAME = 100
#: Changes that were or may have been applied. A refused change is counted in
#: the metrics but not logged, because it changes no state.
_LOGGED_CODES = frozenset((ResultCode.OK, ResultCode.STORE_UNAVAILABLE))


class OperatorHandler:
    """Handles requests to the operator port."""

    def __init__(
        self, records: RecordService, reports: OperatorReports, token: str
    ) -> None:
        """Create the handler.

        :param records: reads and changes records.
        :param reports: status, metrics and explanations of this daemon.
        :param token: operator token; if empty, every request that needs a
            token is refused.
        """
        self._records = records
        self._reports = reports
        self._token = token.encode()

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Handle one request.

        :param request: request to the operator port.
        :param response: writer of the response.
        """
        if request.path == '/metrics':
            body = self._reports.metrics.render()
            await response.send_response(_OK, [_METRICS_TYPE], body)
        elif request.path == '/healthz':
            await response.send_json(_OK, {'healthy': True})
        elif request.path == '/readyz':
            await self._send_readiness(response)
        else:
            answer = await self._answer(request)
            code = str(int(answer.code)).encode()
            await response.send_json(
                answer.status,
                answer.content,
                [(b'Clementinedyke-Result', code)],
            )

    async def _send_readiness(self, response: ResponseWriter) -> None:
        reasons = self._reports.list_unready_reasons()
        status = _UNAVAILABLE if reasons else _OK
        content = {'ready': not reasons, 'not_ready': reasons}
        await response.send_json(status, content)

    async def _answer(self, request: ServerRequest) -> Answer:
        if not self._is_authorized(request):
            self._reports.metrics.count_operator_refusal()
            return create_refusal(
                ResultCode.KEY_UNKNOWN, 'operator token is missing or wrong'
            )
        path = unquote(request.path)
        if path.startswith(f'{_RECORDS_PATH}/'):
            key = path.removeprefix(f'{_RECORDS_PATH}/')
            return await self._answer_record(request, key)
        if request.method != 'GET':
            return create_refusal(
                ResultCode.METHOD_NOT_ALLOWED, f'{path!r} takes GET only'
            )
        return await self._read(request, path)

    def _is_authorized(self, request: ServerRequest) -> bool:
        header = request.get_header(b'authorization') or ''
        scheme, _, given = header.partition(' ')
        matches = hmac.compare_digest(
            given.strip().encode('latin-1'), self._token
        )
        return matches and scheme.lower() == 'bearer' and bool(self._token)

    async def _read(self, request: ServerRequest, path: str) -> Answer:
        prefix = _get_query(request, 'prefix') or ''
        if path == _RECORDS_PATH:
            return await self._list_records(prefix)
        if path == '/v1/audit':
            return await self._list_audit(prefix)
        if path == '/v1/status':
            return create_success(self._reports.compile_status())
        if path.startswith(_EXPLAIN_PREFIX):
            return self._explain(path.removeprefix(_EXPLAIN_PREFIX))
        return create_refusal(ResultCode.ROUTE_UNKNOWN, f'no path {path!r}')

    async def _list_records(self, prefix: str) -> Answer:
        listed = await self._records.list(prefix)
        if listed.is_err():
            return _refuse_read()
        snapshot = listed.unwrap()
        rows = [describe_record(row) for row in snapshot.rows]
        return create_success({'revision': snapshot.revision, 'records': rows})

    async def _list_audit(self, prefix: str) -> Answer:
        listed = await self._records.list_audit(prefix)
        if listed.is_err():
            return _refuse_read()
        rows = [describe_audit(row) for row in listed.unwrap().rows]
        return create_success({'audit': rows})

    def _explain(self, request_id: str) -> Answer:
        outcome = self._reports.outcomes.explain(request_id)
        if outcome is None:
            return create_refusal(
                ResultCode.ROUTE_UNKNOWN,
                f'request {request_id!r} is not among the last requests '
                'of this daemon',
            )
        return create_success(outcome)

    async def _answer_record(self, request: ServerRequest, key: str) -> Answer:
        if request.method == 'GET':
            return await self._get_record(key)
        if request.method not in {'PUT', 'DELETE'}:
            return create_refusal(
                ResultCode.METHOD_NOT_ALLOWED,
                'a record takes GET, PUT and DELETE',
            )
        version = _get_query(request, 'expect_version') or ''
        if not _VERSION.fullmatch(version):
            return create_refusal(
                ResultCode.BODY_INVALID,
                f'query expect_version has value {version!r}: allowed is the '
                'version in force, or 0 for a new record',
            )
        try:
            content = _parse_content(request)
        except (ValueError, RecursionError):
            # Deeply nested JSON makes the parser raise RecursionError.
            return create_refusal(
                ResultCode.BODY_INVALID, 'body is not a JSON object'
            )
        return await self._change(request, key, content, int(version))

    async def _get_record(self, key: str) -> Answer:
        found = await self._records.get(key)
        if found.is_err():
            return _refuse_read()
        row = found.unwrap()
        if row is None:
            return create_refusal(
                ResultCode.ROUTE_UNKNOWN, f'record {key!r} does not exist'
            )
        return create_success(describe_record(row))

    async def _change(
        self,
        request: ServerRequest,
        key: str,
        content: Mapping[str, Any] | None,
        version: int,
    ) -> Answer:
        name = request.get_header(b'clementinedyke-operator') or 'unnamed'
        operator = name[:_MAX_OPERATOR_NAME]
        outcome = await self._records.change(key, content, version, operator)
        answer = compile_answer(outcome, key)
        self._reports.metrics.count_record_change(answer.code)
        if answer.code in _LOGGED_CODES:
            log_event(
                'record_change',
                record=key,
                action=request.method.lower(),
                operator=operator,
                code=answer.code.name,
            )
        return answer


def _get_query(request: ServerRequest, name: str) -> str | None:
    given = parse_qs(request.query).get(name)
    return given[0] if given else None


def _parse_content(request: ServerRequest) -> Mapping[str, Any] | None:
    if request.method == 'DELETE':
        return None
    content = json.loads(request.body)
    if not isinstance(content, dict):
        raise ValueError('body is not a JSON object')
    return content


def _refuse_read() -> Answer:
    return create_refusal(
        ResultCode.STORE_UNREACHABLE, 'the table service did not answer'
    )
