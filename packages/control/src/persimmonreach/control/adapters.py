"""Server and client of the gRPC operator service.

grpclib requires asyncio, while the daemon runs on gevent. The server therefore
runs an asyncio event loop in a native thread of gevent's pool. It notifies the
main thread of new calls through an async watcher of gevent, and receives the
results through callbacks in the asyncio loop.
"""

import asyncio
import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from persimmonreach.control.messages import METHODS, CallResult
from persimmonreach.core import Endpoint

_CALL_TIMEOUT_S: Final = 5
_CALL_ERRORS: Final = (
    OSError,
    asyncio.TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    msgspec.MsgspecError,
)


class JsonCodec(CodecBase):
    """Codec of gRPC messages; each NamedTuple is encoded as a JSON array."""

    __content_subtype__ = 'json'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return ``message`` encoded as JSON."""
        return msgspec.json.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return ``data`` decoded as ``message_type``.

        Raises
        ------
        msgspec.DecodeError
            If ``data`` is not valid JSON, or a field is missing or does not have its
            declared type.

        """
        return msgspec.json.decode(data, type=message_type)


class OperatorService(ABC):
    """Handles the requests of operators, in the main thread."""

    @abstractmethod
    def handle(self, request: Any) -> Any:
        """Return the reply to ``request``."""


class ControlServer:
    """gRPC server for operators.

    Parameters
    ----------
    service
        Handles the requests, in the main thread.
    bind
        Address to listen on; for port 0 the operating system chooses a free port.

    Raises
    ------
    OSError
        If the address cannot be bound.

    """

    def __init__(self, service: OperatorService, bind: Endpoint) -> None:
        self._service = service
        self._socket = socket.create_server(bind)
        self._pending_calls: deque[tuple[Any, asyncio.Future]] = deque()
        self._loop = asyncio.new_event_loop()
        self._calls_watcher = gevent.get_hub().loop.async_()
        self._started_watcher = gevent.get_hub().loop.async_()
        self._stop_requested: asyncio.Future | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Address that the server listens on."""
        return Endpoint(*self._socket.getsockname())

    def start(self) -> None:
        """Start the thread of the server and wait until the server listens."""
        self._calls_watcher.start(self._spawn_call_handler)
        listening = Event()
        self._started_watcher.start(listening.set)
        gevent.get_hub().threadpool.spawn(self._run_loop)
        listening.wait()
        self._started_watcher.close()

    def stop(self) -> None:
        """Stop the server; its thread ends asynchronously."""
        self._loop.call_soon_threadsafe(self._request_stop)
        self._calls_watcher.close()

    def _run_loop(self) -> None:
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self) -> None:
        self._stop_requested = self._loop.create_future()
        server = Server([_Handlers(self)], codec=JsonCodec())
        await server.start(sock=self._socket)
        self._started_watcher.send()
        await self._stop_requested
        server.close()
        await server.wait_closed()

    def _request_stop(self) -> None:
        if self._stop_requested is not None and not self._stop_requested.done():
            self._stop_requested.set_result(None)

    def submit(self, request: Any) -> asyncio.Future:
        """Queue a call for the main thread; runs in the thread of the server.

        Returns
        -------
        asyncio.Future
            Receives the reply, or a ``GRPCError`` if the service fails.

        """
        future = self._loop.create_future()
        self._pending_calls.append((request, future))
        self._calls_watcher.send()
        return future

    def _spawn_call_handler(self) -> None:
        # Callbacks of the hub must not block, so a greenlet handles the calls.
        gevent.spawn(self._handle_pending_calls)

    def _handle_pending_calls(self) -> None:
        while self._pending_calls:
            request, future = self._pending_calls.popleft()
            try:
                result = self._service.handle(request)
            except Exception as error:
                # Without a reply the client would wait until its call times out.
                result = GRPCError(Status.INTERNAL, repr(error))
            self._loop.call_soon_threadsafe(_set_result, future, result)


class _Handlers:
    """Handlers of the gRPC methods, in the form that grpclib requires."""

    def __init__(self, server: ControlServer) -> None:
        self._server = server

    def __mapping__(self) -> Mapping[str, Handler]:
        return {
            method.path: Handler(
                self._handle,
                Cardinality.UNARY_UNARY,
                request_type,
                method.reply_type,
            )
            for request_type, method in METHODS.items()
        }

    async def _handle(self, stream: Stream) -> None:
        try:
            request = await stream.recv_message()
        except msgspec.DecodeError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        if request is not None:
            await stream.send_message(await self._server.submit(request))


def _set_result(future: asyncio.Future, result: Any) -> None:
    if future.done():
        # The call has been cancelled, for example because the connection was lost.
        return
    if isinstance(result, GRPCError):
        future.set_exception(result)
    else:
        future.set_result(result)


class OperatorClient(ABC):
    """Client that calls the operator service of several entry instances."""

    @abstractmethod
    def call_all(
        self, endpoints: Sequence[Endpoint], request: Any
    ) -> tuple[CallResult, ...]:
        """Return the result of the call to each of ``endpoints``, in their order."""


class GrpcOperatorClient(OperatorClient):
    """Client that calls entry instances concurrently over gRPC.

    The calls end after about 5 s in total, even if entry instances do not respond.
    """

    def call_all(
        self, endpoints: Sequence[Endpoint], request: Any
    ) -> tuple[CallResult, ...]:
        """Return the result of the call to each of ``endpoints``, in their order."""
        return asyncio.run(_call_all(endpoints, request))


async def _call_all(
    endpoints: Sequence[Endpoint], request: Any
) -> tuple[CallResult, ...]:
    calls = [_call_one(endpoint, request) for endpoint in endpoints]
    return tuple(await asyncio.gather(*calls))


async def _call_one(endpoint: Endpoint, request: Any) -> CallResult:
    try:
        return CallResult(endpoint, await call_entry(endpoint, request))
    except asyncio.TimeoutError:
        return CallResult(endpoint, problem=f'no reply within {_CALL_TIMEOUT_S} s')
    except _CALL_ERRORS as error:
        return CallResult(endpoint, problem=str(error) or type(error).__name__)


async def call_entry(endpoint: Endpoint, request: Any) -> Any:
    """Call the operator service of an entry instance and return its reply.

    Parameters
    ----------
    endpoint
        Control address of the entry instance.
    request
        Request of one of the types in :data:`METHODS`.

    Raises
    ------
    OSError
        If the entry instance cannot be reached.
    asyncio.TimeoutError
        If no reply arrives within 5 s.
    GRPCError
        If the entry instance rejects the request or fails to handle it.
    StreamTerminatedError
        If the connection is lost before the reply arrives.
    msgspec.DecodeError
        If the reply cannot be decoded.

    """
    async with Channel(endpoint.host, endpoint.port, codec=JsonCodec()) as channel:
        return await asyncio.wait_for(_send_request(channel, request), _CALL_TIMEOUT_S)


async def _send_request(channel: Channel, request: Any) -> Any:
    method = METHODS[type(request)]
    call = channel.request(
        method.path,
        Cardinality.UNARY_UNARY,
        type(request),
        method.reply_type,
    )
    async with call as stream:
        await stream.send_message(request, end=True)
        return await stream.recv_message()
