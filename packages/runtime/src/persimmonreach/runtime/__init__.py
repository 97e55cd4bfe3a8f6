"""Tasks, wire codec and UDP transport shared by all slices."""

from persimmonreach.runtime._codec import (
    LARGEST_WINDOW_S,
    EnvelopeError,
    MessageCodec,
    PlainCodec,
    SharedKey,
    StaleError,
    WireError,
)
from persimmonreach.runtime._machine_task import MachineTask
from persimmonreach.runtime._peer import PeerTask, PeerTransport
from persimmonreach.runtime._task import BATCH, Task, end_process
from persimmonreach.runtime._transport import DatagramSocket, UdpSocket

__all__ = (
    'BATCH',
    'LARGEST_WINDOW_S',
    'DatagramSocket',
    'EnvelopeError',
    'MachineTask',
    'MessageCodec',
    'PeerTask',
    'PeerTransport',
    'PlainCodec',
    'SharedKey',
    'StaleError',
    'Task',
    'UdpSocket',
    'WireError',
    'end_process',
)
