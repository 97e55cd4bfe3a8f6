"""Task base classes, message codecs, UDP and HTTP transport shared by all slices."""

from persimmonreach.runtime._codec import (
    MAX_MESSAGE_WINDOW_S,
    AuthenticationError,
    MessageCodec,
    MessageDecodeError,
    OutOfWindowError,
    PlainCodec,
    SharedKey,
)
from persimmonreach.runtime._machine_task import StateMachineTask
from persimmonreach.runtime._peer import PeerTask, PeerTransport
from persimmonreach.runtime._task import BATCH_SIZE, Task, raise_in_main_greenlet
from persimmonreach.runtime._transport import DatagramSocket, UdpSocket

__all__ = (
    'BATCH_SIZE',
    'MAX_MESSAGE_WINDOW_S',
    'AuthenticationError',
    'DatagramSocket',
    'MessageCodec',
    'MessageDecodeError',
    'OutOfWindowError',
    'PeerTask',
    'PeerTransport',
    'PlainCodec',
    'SharedKey',
    'StateMachineTask',
    'Task',
    'UdpSocket',
    'raise_in_main_greenlet',
)
