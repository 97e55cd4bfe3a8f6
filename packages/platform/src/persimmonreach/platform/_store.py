"""Client of the platform's store."""

import json
from base64 import b64decode, b64encode
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from persimmonreach.core import Endpoint
from persimmonreach.store import (
    ANY_REVISION,
    Changes,
    CompareFailedError,
    HistoryLostError,
    LeaseLostError,
    Listing,
    Store,
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
    StoreValue,
)

# The slowest days of the platform answer in about 0.4 s; a connection that has
# gone silent is noticed after this time.
CALL_TIMEOUT_S: Final = 1.0
# Added to the wait of a watch.
WATCH_SLACK_S: Final = 1.0
_MS_PER_S: Final = 1000
_UNAVAILABLE: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
_HEADERS: Final = MappingProxyType({'Content-Type': 'application/json'})


class _Answer(NamedTuple):
    status: int
    body: Any


class PlatformStore(Store):
    """Store of the platform over HTTP with JSON bodies.

    Parameters
    ----------
    endpoint
        Address of the store.

    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._calls = _Connection(endpoint, CALL_TIMEOUT_S)
        self._watches = _Connection(endpoint, CALL_TIMEOUT_S)

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()
        self._watches.close()

    def get(self, key: str) -> StoreValue | None:
        """Return the key, or nothing if it does not exist."""
        answer = self._read(f'/kv-key?key={quote(key, safe="")}')
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _value(_expect_ok(answer).body)

    def list_prefix(self, prefix: str, *, may_be_stale: bool = False) -> Listing:
        """Return all keys that start with ``prefix``, ordered by name."""
        rows: list[StoreValue] = []
        revision = 0
        path = f'/kv-range?prefix={quote(prefix, safe="")}'
        if may_be_stale:
            path = f'{path}&allowStale=1'
        page = path
        while True:
            body = _expect_ok(self._read(page)).body
            # Pages are not a snapshot: a watch goes on from the first one.
            revision = revision or body['asOf']
            rows.extend(_value(item) for item in body['items'])
            if not body['hasMore']:
                return Listing(revision, tuple(rows))
            page = f'{path}&after={quote(rows[-1].key, safe="")}'

    def put(self, key: str, value: bytes, expected: int, lease: int = 0) -> int:
        """Write a key and return its revision."""
        compared = [] if expected == ANY_REVISION else [_compare(key, expected)]
        item = {'key': key, 'value': b64encode(value).decode(), 'lease': lease}
        return self._change(compared, [item], [])

    def delete(self, key: str) -> None:
        """Delete a key; does nothing if it does not exist."""
        self._change([], [], [key])

    def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease that lasts ``ttl_s`` seconds."""
        answer = self._write('POST', '/kv-lease', {'ttlMs': int(ttl_s * _MS_PER_S)})
        return _expect_ok(answer).body['lease']

    def keep_alive(self, lease: int) -> None:
        """Renew a lease."""
        answer = self._write('POST', f'/kv-keep/{lease}', {})
        if answer.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(f'lease {lease}')
        _expect_ok(answer)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        answer = self._write('DELETE', f'/kv-lease-end/{lease}', None)
        if answer.status != HTTPStatus.NOT_FOUND:
            _expect_ok(answer)

    def watch(self, prefix: str, after: int, timeout_s: float) -> Changes:
        """Wait until a key that starts with ``prefix`` changes."""
        wait_ms = int(timeout_s * _MS_PER_S)
        name = quote(prefix, safe='')
        path = f'/kv-watch?prefix={name}&after={after}&waitMs={wait_ms}'
        answer = self._read(path, timeout_s + WATCH_SLACK_S)
        if answer.status == HTTPStatus.GONE:
            raise HistoryLostError(f'changes after {after}')
        body = _expect_ok(answer).body
        written: dict[str, StoreValue] = {}
        removed: set[str] = set()
        for event in body['events']:
            key = event['key']
            written.pop(key, None)
            removed.discard(key)
            if event.get('tombstone'):
                removed.add(key)
            else:
                written[key] = _value(event)
        return Changes(body['asOf'], tuple(written.values()), tuple(removed))

    def _change(self, compared: list[Any], items: list[Any], removed: list[str]) -> int:
        body = {'expected': compared, 'setKeys': items, 'remove': removed}
        answer = self._write('POST', '/kv-txn', body)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise CompareFailedError(str(compared))
        if answer.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(str(items))
        return _expect_ok(answer).body['revision']

    def _read(self, path: str, timeout_s: float | None = None) -> _Answer:
        connection = self._calls if timeout_s is None else self._watches
        try:
            return connection.call('GET', path, None, timeout_s)
        except StoreUncertainError as error:
            raise StoreUnavailableError(str(error)) from error

    def _write(self, method: str, path: str, body: Any) -> _Answer:
        return self._calls.call(method, path, body)


class _Connection:
    """One client, replaced after each failure: its connection may be silent."""

    def __init__(self, endpoint: Endpoint, timeout_s: float) -> None:
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._clients: dict[float, HTTPClient] = {}

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def call(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float | None = None,
    ) -> _Answer:
        """Make one call.

        Raises
        ------
        StoreUnavailableError
            If nothing was sent.
        StoreUncertainError
            If the answer was lost.

        """
        wait_s = timeout_s or self._timeout_s
        content = None if body is None else json.dumps(body).encode()
        try:
            return self._exchange(self._client(wait_s), method, path, content)
        except ConnectionRefusedError as error:
            self._drop(wait_s)
            raise StoreUnavailableError(f'{method} {path}: {error}') from error
        except (OSError, HTTPParseError, ValueError) as error:
            self._drop(wait_s)
            raise StoreUncertainError(f'{method} {path}: {error!r}') from error

    def _client(self, wait_s: float) -> HTTPClient:
        client = self._clients.get(wait_s)
        if client is None:
            client = HTTPClient(
                self._endpoint.host,
                port=self._endpoint.port,
                connection_timeout=self._timeout_s,
                network_timeout=wait_s,
                concurrency=2,
            )
            self._clients[wait_s] = client
        return client

    def _drop(self, wait_s: float) -> None:
        client = self._clients.pop(wait_s, None)
        if client is not None:
            client.close()

    def _exchange(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        content: bytes | None,
    ) -> _Answer:
        headers = {} if content is None else _HEADERS
        response = client.request(method, path, content or b'', headers)
        answer = response.read()
        return _Answer(response.status_code, json.loads(answer) if answer else None)


def _compare(key: str, revision: int) -> dict[str, Any]:
    return {'key': key, 'revision': revision}


def _expect_ok(answer: _Answer) -> _Answer:
    if answer.status == HTTPStatus.OK:
        return answer
    if answer.status in _UNAVAILABLE:
        raise StoreUnavailableError(f'status {answer.status}')
    raise StoreError(f'unexpected status {answer.status}: {answer.body}')


def _value(item: Any) -> StoreValue:
    return StoreValue(item['key'], b64decode(item['value']), item['revision'])
