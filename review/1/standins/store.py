"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import itertools
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """Keys with revisions, leases and a history, served over HTTP."""

    def __init__(self, host: str) -> None:
        self._changed = threading.Condition()
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._leases: dict[int, list[float]] = {}
        self._lease_ids = itertools.count(1)
        handler = type('Handler', (_Handler,), {'store': self})
        self._server = _Server((host, 0), handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Address as host:port."""
        return '{0}:{1}'.format(*self._server.server_address)

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def operator_put(self, key: str, value: object) -> int:
        """Write a key as the operator does; return its revision."""
        with self._changed:
            return self._write([(key, json.dumps(value).encode(), 0)], [])

    def operator_remove(self, key: str) -> int:
        """Remove a key as the operator does; return the revision."""
        with self._changed:
            return self._write([], [key])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys below a prefix."""
        with self._changed:
            self._expire()
            return sorted(key for key in self._items if key.startswith(prefix))

    def call(self, method: str, path: str, query: dict, body: dict) -> tuple[int, object]:
        """Return status and body of the response to a call."""
        with self._changed:
            self._expire()
            if path == '/kv-key':
                item = self._items.get(query['key'])
                return (200, {**item, 'asOf': self._revision}) if item else (404, {})
            if path == '/kv-range':
                after = query.get('after', '')
                items = [
                    self._items[key]
                    for key in sorted(self._items)
                    if key.startswith(query['prefix']) and key > after
                ]
                return 200, {
                    'items': items[:500], 'hasMore': len(items) > 500,
                    'asOf': self._revision,
                }
            if path == '/kv-watch':
                return self._watch(query)
            if path == '/kv-txn':
                return self._transaction(body)
            if path == '/kv-lease':
                lease = next(self._lease_ids)
                ttl_s = max(1.0, body['ttlMs'] / 1000)
                self._leases[lease] = [ttl_s, time.monotonic() + ttl_s]
                return 200, {'lease': lease, 'ttlMs': int(ttl_s * 1000)}
            name, _, lease_id = path.rpartition('/')
            lease = int(lease_id)
            if lease not in self._leases:
                return 404, {}
            if name == '/kv-keep':
                self._leases[lease][1] = time.monotonic() + self._leases[lease][0]
                return 200, {'ttlMs': int(self._leases[lease][0] * 1000)}
            self._leases.pop(lease)
            self._drop_keys_of({lease})
            return 200, {}

    def _watch(self, query: dict) -> tuple[int, object]:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            self._expire()
            events = [
                event
                for event in self._history
                if event['revision'] > after and event['key'].startswith(query['prefix'])
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                return 200, {'events': events, 'asOf': self._revision}
            self._changed.wait(min(remaining, 0.5))

    def _transaction(self, body: dict) -> tuple[int, object]:
        rows = body.get('expected', [])
        current = [self._items.get(row['key']) for row in rows]
        if any(
            (item['revision'] if item else 0) != row['revision']
            for item, row in zip(current, rows, strict=True)
        ):
            return 412, {'items': [item for item in current if item]}
        writes = [
            (row['key'], base64.b64decode(row['value']), row.get('lease', 0))
            for row in body.get('setKeys', [])
        ]
        if any(lease and lease not in self._leases for _, _, lease in writes):
            return 404, {}
        if any(key.startswith(('op/', 'servers/')) for key, _, _ in writes):
            return 403, {}
        return 200, {'revision': self._write(writes, body.get('remove', []))}

    def _write(self, writes: list, removed: list) -> int:
        self._revision += 1
        for key, value, lease in writes:
            created = self._items.get(key, {}).get('created', self._revision)
            self._items[key] = {
                'key': key, 'value': base64.b64encode(value).decode(),
                'revision': self._revision, 'created': created, 'lease': lease,
            }
            self._history.append(dict(self._items[key]))
        for key in removed:
            if self._items.pop(key, None):
                self._history.append(
                    {'key': key, 'revision': self._revision, 'tombstone': True}
                )
        self._changed.notify_all()
        return self._revision

    def _expire(self) -> None:
        now = time.monotonic()
        ended = {lease for lease, (_, until) in self._leases.items() if until <= now}
        for lease in ended:
            self._leases.pop(lease)
        if ended:
            self._drop_keys_of(ended)

    def _drop_keys_of(self, leases: set[int]) -> None:
        keys = [key for key, item in self._items.items() if item['lease'] in leases]
        if keys:
            self._write([], keys)


class _Server(ThreadingHTTPServer):
    def handle_error(self, *_: object) -> None:
        """Ignore connections that their clients have closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    store: Store

    def _serve(self) -> None:
        size = int(self.headers.get('Content-Length') or 0)
        content = self.rfile.read(size)
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        status, body = self.store.call(
            self.command, url.path, query, json.loads(content) if content else {}
        )
        encoded = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, *_: object) -> None:
        """Write nothing."""
