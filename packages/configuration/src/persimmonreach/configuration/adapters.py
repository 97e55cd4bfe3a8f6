"""Files with declarations, and the store over HTTP."""

import json
from collections.abc import Iterable, Sequence
from contextlib import closing
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from persimmonreach.configuration._declarations import Declarations, parse_declarations
from persimmonreach.configuration._schema import SERVICE_SUFFIX, ZONES_FILE
from persimmonreach.configuration._sources import SourceFile
from persimmonreach.configuration._store import (
    CompareFailedError,
    LeaseLostError,
    Listing,
    Store,
    StoreUnavailableError,
    StoreUncertainError,
    StoreValue,
    Watched,
)
from persimmonreach.core import Endpoint, Finding, raise_findings

# A watch must not delay the renewal of a lease or the absorption of overrides.
_CONNECTIONS: Final = 4


def check_declarations(*directories: str) -> Declarations:
    """Return the checked declarations of all directories.

    Raises
    ------
    FindingsError
        With all faults of all files.

    """
    findings: list[Finding] = []
    sources = [
        source
        for directory in directories
        for source in _read_directory(Path(directory), findings)
    ]
    raise_findings('declarations cannot be read', findings)
    return parse_declarations(sources)


def _read_directory(directory: Path, findings: list[Finding]) -> Iterable[SourceFile]:
    if not directory.is_dir():
        findings.append(
            Finding(str(directory), '$', 'not a directory', 'name a directory'),
        )
        return
    for path in sorted(directory.rglob('*.json')):
        if not path.name.endswith(SERVICE_SUFFIX) and path.name != ZONES_FILE:
            remedy = f'name it NAME{SERVICE_SUFFIX} or {ZONES_FILE}'
            findings.append(Finding(str(path), '$', 'unknown kind of file', remedy))
            continue
        try:
            yield SourceFile(str(path), path.read_text('utf-8'))
        except (OSError, UnicodeDecodeError) as error:
            findings.append(Finding(str(path), '$', str(error), 'write UTF-8 text'))


class HttpStore(Store):
    """Store over HTTP with JSON bodies.

    Every operation is ``POST /v1/<operation>``. Requests and answers are:

    * ``get`` ``{key}``: ``{value}``, where ``value`` is ``null`` or ``[key,
      value, revision]``
    * ``list`` ``{prefix}``: ``{revision, rows}``
    * ``put`` ``{key, value, expected, lease}``: ``{revision}``
    * ``delete`` ``{key}``: ``{}``
    * ``grant`` ``{ttl_s}``: ``{lease}``
    * ``keepalive`` ``{lease}``: ``{}``
    * ``watch`` ``{prefixes, after, timeout_s}``: ``{revision, changed}``, sent
      when a key changes or the time is over

    Status 409 means that the revision is not the expected one, 410 that the
    lease has expired, 503 that the store did nothing.

    Parameters
    ----------
    endpoint
        Address of the store.
    timeout_s
        Longest wait for an answer in seconds, in addition to that of a watch.

    """

    def __init__(self, endpoint: Endpoint, timeout_s: float = 5) -> None:
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._calls = self._client(timeout_s)

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()

    def get(self, key: str) -> StoreValue | None:
        """Return the key, or nothing if it does not exist."""
        row = self._read('get', {'key': key})['value']
        return None if row is None else StoreValue(*row)

    def list_prefix(self, prefix: str) -> Listing:
        """Return all keys that start with ``prefix``, ordered by name."""
        answer = self._read('list', {'prefix': prefix})
        rows: Sequence[Any] = answer['rows']
        return Listing(answer['revision'], tuple(StoreValue(*row) for row in rows))

    def put(self, key: str, value: str, expected: int, lease: int = 0) -> int:
        """Write a key and return its revision."""
        request = {'key': key, 'value': value, 'expected': expected, 'lease': lease}
        return self._call('put', request)['revision']

    def delete(self, key: str) -> None:
        """Delete a key; does nothing if it does not exist."""
        self._call('delete', {'key': key})

    def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease that lasts ``ttl_s`` seconds."""
        return self._call('grant', {'ttl_s': ttl_s})['lease']

    def keep_alive(self, lease: int) -> None:
        """Renew a lease."""
        self._call('keepalive', {'lease': lease})

    def watch(
        self,
        prefixes: tuple[str, ...],
        after: int,
        timeout_s: float,
    ) -> Watched:
        """Wait until a key with one of ``prefixes`` changes."""
        request = {'prefixes': prefixes, 'after': after, 'timeout_s': timeout_s}
        with closing(self._client(timeout_s + self._timeout_s)) as client:
            answer = self._read('watch', request, client)
        return Watched(answer['revision'], answer['changed'])

    def _client(self, timeout_s: float) -> HTTPClient:
        return HTTPClient(
            self._endpoint.host,
            port=self._endpoint.port,
            connection_timeout=self._timeout_s,
            network_timeout=timeout_s,
            concurrency=_CONNECTIONS,
        )

    def _read(
        self,
        operation: str,
        request: dict[str, Any],
        client: HTTPClient | None = None,
    ) -> dict[str, Any]:
        try:
            return self._call(operation, request, client)
        except StoreUncertainError as error:
            raise StoreUnavailableError(str(error)) from error

    def _call(
        self,
        operation: str,
        request: dict[str, Any],
        client: HTTPClient | None = None,
    ) -> dict[str, Any]:
        # POST is never repeated by the client after it may have been sent.
        body = json.dumps(request).encode()
        try:
            status, content = _post(client or self._calls, operation, body)
        except ConnectionRefusedError as error:
            raise StoreUnavailableError(f'{operation}: {error}') from error
        except (OSError, HTTPParseError) as error:
            raise StoreUncertainError(f'{operation}: {error}') from error
        return _answer(operation, status, content)


def _post(client: HTTPClient, operation: str, body: bytes) -> tuple[int, bytes]:
    response = client.post(f'/v1/{operation}', body)
    return response.status_code, response.read()


def _answer(operation: str, status: int, content: bytes) -> dict[str, Any]:
    if status == HTTPStatus.CONFLICT:
        raise CompareFailedError(operation)
    if status == HTTPStatus.GONE:
        raise LeaseLostError(operation)
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise StoreUnavailableError(f'{operation}: the store is unavailable')
    if status != HTTPStatus.OK:
        raise StoreUncertainError(f'{operation}: unexpected status {status}')
    try:
        return json.loads(content)
    except ValueError as error:
        raise StoreUncertainError(f'{operation}: {error}') from error
