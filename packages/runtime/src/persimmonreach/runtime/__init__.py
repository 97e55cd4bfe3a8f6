"""Tasks, wire codec and UDP transport shared by all slices."""

from persimmonreach.runtime._codec import (
    EnvelopeError,
    SharedKey,
    WireCodec,
    WireError,
)
from persimmonreach.runtime._peer import PeerTask, PeerTransport
from persimmonreach.runtime._task import Task
from persimmonreach.runtime._transport import DatagramSocket, UdpSocket

__all__ = (
    'DatagramSocket',
    'EnvelopeError',
    'PeerTask',
    'PeerTransport',
    'SharedKey',
    'Task',
    'UdpSocket',
    'WireCodec',
    'WireError',
)
