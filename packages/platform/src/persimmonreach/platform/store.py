"""HTTP client for the platform's store."""

import re
from base64 import b64encode
from http import HTTPMethod, HTTPStatus
from typing import Any, Final, NotRequired, TypedDict, TypeVar

import msgspec

from persimmonreach.core import Endpoint
from persimmonreach.runtime.http_client import (
    HttpClient,
    HttpConnectError,
    HttpResponseLostError,
    JsonResponse,
)
from persimmonreach.store import (
    ANY_REVISION,
    Changes,
    CompareFailedError,
    HistoryLostError,
    KeyValue,
    LeaseLostError,
    Listing,
    Store,
    StoreContentError,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)

# The store responds within about 0.4 s in the slowest scenarios of the platform. A
# stalled connection is detected after this timeout.
CALL_TIMEOUT_S: Final = 1.0
_MS_PER_S: Final = 1000
# Names that need no percent-encoding in a query (RFC 3986, section 3.4).
_UNESCAPED_NAME: Final = re.compile(r'[\w.~/-]*', re.ASCII)
_UNAVAILABLE_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)


Body = TypeVar('Body')


class _Item(TypedDict):
    key: str
    value: bytes
    revision: int


class _Event(TypedDict):
    key: str
    revision: int
    value: NotRequired[bytes]
    tombstone: NotRequired[bool]


_RangeBody = TypedDict('_RangeBody', {'asOf': int, 'items': list[_Item], 'hasMore': bool})
_WatchBody = TypedDict('_WatchBody', {'asOf': int, 'events': list[_Event]})


class _TransactionBody(TypedDict):
    revision: int


class _LeaseBody(TypedDict):
    lease: int


class PlatformStore(Store):
    """Client for the store of the platform, over HTTP with JSON bodies.

    Parameters
    ----------
    endpoint
        Address of the store.

    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._http = HttpClient(endpoint, CALL_TIMEOUT_S)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def get(self, key: str) -> KeyValue | None:
        """Return a key with its value; None if it does not exist."""
        response = self._call_read(f'/kv-key?key={_quote(key)}')
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return KeyValue(**_decode_body(response, _Item))

    def list_prefix(self, prefix: str, *, may_be_stale: bool = False) -> Listing:
        """Return all keys that start with ``prefix``, ordered by name."""
        rows: list[KeyValue] = []
        revision = 0
        path = f'/kv-range?prefix={_quote(prefix)}'
        if may_be_stale:
            path = f'{path}&allowStale=1'
        page_path = path
        while True:
            body = _decode_body(self._call_read(page_path), _RangeBody)
            # The pages may reflect different revisions. A watch that continues from
            # the revision of the first page misses no change.
            revision = revision or body['asOf']
            rows.extend(KeyValue(**item) for item in body['items'])
            if not (body['hasMore'] and body['items']):
                return Listing(revision, tuple(rows))
            page_path = f'{path}&after={_quote(rows[-1].key)}'

    def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> int:
        """Write a key and return its new revision.

        Raises
        ------
        CompareFailedError
            If the key does not have the expected revision.
        LeaseLostError
            If the lease has expired or was ended.

        """
        conditions = (
            []
            if expected_revision == ANY_REVISION
            else [_encode_condition(key, expected_revision)]
        )
        item = {'key': key, 'value': b64encode(value).decode(), 'lease': lease_id}
        return self._execute_transaction(conditions, [item], [])

    def delete(self, key: str) -> None:
        """Delete a key; does nothing if it does not exist."""
        self._execute_transaction([], [], [key])

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds unless renewed."""
        body = {'ttlMs': int(ttl_s * _MS_PER_S)}
        response = self._call_write(HTTPMethod.POST, '/kv-lease', body)
        return _decode_body(response, _LeaseBody)['lease']

    def keep_alive(self, lease_id: int) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            If the lease has expired or was ended.

        """
        response = self._call_write(HTTPMethod.POST, f'/kv-keep/{lease_id}', {})
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(f'store has no lease {lease_id}')
        _check_status(response)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; does nothing if it has ended already."""
        response = self._call_write(HTTPMethod.DELETE, f'/kv-lease-end/{lease_id}')
        if response.status != HTTPStatus.NOT_FOUND:
            _check_status(response)

    def watch(self, prefix: str, after_revision: int, timeout_s: float) -> Changes:
        """Wait until a key that starts with ``prefix`` changes, or until the timeout.

        Raises
        ------
        HistoryLostError
            If the store no longer holds all changes after ``after_revision``.

        """
        wait_ms = int(timeout_s * _MS_PER_S)
        query = f'prefix={_quote(prefix)}&after={after_revision}&waitMs={wait_ms}'
        response = self._call_read(f'/kv-watch?{query}', timeout_s)
        if response.status == HTTPStatus.GONE:
            raise HistoryLostError(
                f'store no longer holds all changes after revision {after_revision}'
            )
        body = _decode_body(response, _WatchBody)
        latest_events = {event['key']: event for event in body['events']}
        written = tuple(
            KeyValue(key, event.get('value', b''), event['revision'])
            for key, event in latest_events.items()
            if not event.get('tombstone')
        )
        deleted_keys = tuple(
            key for key, event in latest_events.items() if event.get('tombstone')
        )
        return Changes(body['asOf'], written, deleted_keys)

    def _execute_transaction(
        self, conditions: list[Any], items: list[Any], removed: list[str]
    ) -> int:
        body = {'expected': conditions, 'setKeys': items, 'remove': removed}
        response = self._call_write(HTTPMethod.POST, '/kv-txn', body)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise CompareFailedError(str(conditions))
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(str(items))
        return _decode_body(response, _TransactionBody)['revision']

    def _call_read(self, path: str, extra_timeout_s: float = 0) -> JsonResponse:
        try:
            return self._http.request(
                HTTPMethod.GET, path, extra_timeout_s=extra_timeout_s
            )
        except (HttpConnectError, HttpResponseLostError) as error:
            raise StoreUnavailableError(str(error)) from error

    def _call_write(
        self, method: HTTPMethod, path: str, body: Any = None
    ) -> JsonResponse:
        try:
            return self._http.request(method, path, body)
        except HttpConnectError as error:
            raise StoreUnavailableError(str(error)) from error
        except HttpResponseLostError as error:
            raise WriteOutcomeUnknownError(str(error)) from error


def _quote(name: str) -> str:
    """Percent-encode a name for a query."""
    if _UNESCAPED_NAME.fullmatch(name) is None:
        # Imported only when required, because flows are delayed while a process
        # starts. Names of this system need no percent-encoding.
        from urllib.parse import quote

        return quote(name, safe='')
    return name


def _encode_condition(key: str, revision: int) -> dict[str, Any]:
    return {'key': key, 'revision': revision}


def _check_status(response: JsonResponse) -> JsonResponse:
    if response.status == HTTPStatus.OK:
        return response
    if response.status in _UNAVAILABLE_STATUSES:
        raise StoreUnavailableError(
            f'store refused the call with status {response.status}'
        )
    raise StoreError(f'expected status 200, found {response.status}: {response.body}')


def _decode_body(response: JsonResponse, body_type: type[Body]) -> Body:
    body = _check_status(response).body
    try:
        return msgspec.convert(body, body_type)
    except msgspec.ValidationError as error:
        raise StoreContentError(f'malformed response body: {error}') from error
