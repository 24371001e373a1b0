"""HTTP client of the operator port, used by the command line."""

import getpass
import json
import os
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any

import trio
from cyclopts import Parameter

from clementinedyke.codes import ResultCode
from clementinedyke.exceptions import (
    AnswerLostError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import (
    Address,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.operators.failures import CommandError, ExitStatus

#: Longer than the daemon itself waits for the table service.
_TIMEOUT_MS = 30000
_STATUS_OK = 200
_EXIT_STATUSES = MappingProxyType(
    {
        ResultCode.RECORD_CONFLICT: ExitStatus.CONFLICT,
        ResultCode.STORE_UNAVAILABLE: ExitStatus.UNKNOWN,
        ResultCode.STORE_UNREACHABLE: ExitStatus.UNAVAILABLE,
    }
)


def _get_operator() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # The user id has no entry in the user database.
        return 'unnamed'


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class Connection:
    """Connection of a command to the operator port of a daemon.

    :param address: address of the operator port as IP:PORT.
    :param token_file: file that contains the operator token; without one the
        environment variable CLEMENTINEDYKE_OPERATOR_TOKEN is used.
    :param tls_authority: PEM file of the authority that signed the port's
        certificate; without one the connection is plain TCP.
    :param operator: name of the operator recorded in audit rows.
    """

    address: Annotated[
        str, Parameter(env_var='CLEMENTINEDYKE_OPERATOR_ADDRESS')
    ] = '127.0.0.1:8081'
    token_file: Annotated[
        str, Parameter(env_var='CLEMENTINEDYKE_OPERATOR_TOKEN_FILE')
    ] = ''
    tls_authority: str = ''
    operator: str = field(default_factory=_get_operator)

    def call(
        self, method: str, target: str, content: Any = None
    ) -> dict[str, Any]:
        """Send a request and return the JSON body of the response.

        :param method: HTTP method.
        :param target: path and query of the URL.
        :param content: JSON-serialisable body, or None.
        :raises CommandError: if the daemon refuses the request or sends no
            valid response.
        """
        body = b'' if content is None else json.dumps(content).encode()
        request = HttpRequest(method, target, self._compile_headers(), body)
        response = trio.run(self._send, request)
        return _parse_response(response)

    def _compile_headers(self) -> list[tuple[bytes, bytes]]:
        token = os.environ.get('CLEMENTINEDYKE_OPERATOR_TOKEN', '')
        if self.token_file:
            token = _read_token(self.token_file)
        operator = self.operator.encode('ascii', 'replace')
        return [
            (b'Authorization', f'Bearer {token}'.encode()),
            (b'Clementinedyke-Operator', operator),
        ]

    async def _send(self, request: HttpRequest) -> HttpResponse:
        try:
            async with self._create_client() as client:
                return await client.request(request, _TIMEOUT_MS)
        except PeerUnavailableError as error:
            raise CommandError(str(error), ExitStatus.UNAVAILABLE) from error
        except (AnswerLostError, ProtocolError) as error:
            message = f'no valid response, outcome unknown: {error}'
            raise CommandError(message, ExitStatus.UNKNOWN) from error

    def _create_client(self) -> HttpClient:
        try:
            return HttpClient(Address.parse(self.address), self._load_tls())
        except (ValueError, OSError) as error:
            raise CommandError(str(error), ExitStatus.USAGE) from error

    def _load_tls(self) -> ssl.SSLContext | None:
        if not self.tls_authority:
            return None
        return ssl.create_default_context(cafile=self.tls_authority)


def _read_token(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f'token file {path!r} cannot be read'
        raise CommandError(message, ExitStatus.USAGE) from error


def _parse_response(response: HttpResponse) -> dict[str, Any]:
    content: dict[str, Any] = json.loads(response.body)
    if response.status == _STATUS_OK:
        return content
    raise _create_error(content['error'])


def _create_error(refusal: Mapping[str, Any]) -> CommandError:
    code = ResultCode(refusal['code'])
    status = _EXIT_STATUSES.get(code, ExitStatus.REFUSED)
    message = f'{code.name} ({int(code)}): {refusal["message"]}'
    return CommandError(message, status)
