"""Splits lists of flows so that each message fits a datagram."""

from typing import Final, NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.ownership.messages import HeldFlow, RecentFlow

# A datagram has at most 1,400 bytes; sender, envelope and the statuses of 64
# buckets take up to 600 of them.
_CHUNK_BYTES: Final = 750
# MessagePack headers of a row and its fields, and a sequence and a time.
_ROW_BYTES: Final = 6
_RECENT_BYTES: Final = 16


class FlowChunk(NamedTuple):
    """Flows for one message."""

    flows: tuple[HeldFlow, ...] = ()
    recent: tuple[RecentFlow, ...] = ()

    @property
    def keys(self) -> tuple[FlowKey, ...]:
        """Keys of the flows."""
        return tuple(row.key for row in self.flows)


def split_flows(
    flows: tuple[HeldFlow, ...],
    recent: tuple[RecentFlow, ...] = (),
) -> list[FlowChunk]:
    """Return at least one chunk with all rows."""
    chunks = [FlowChunk()]
    used = 0
    for row in (*flows, *recent):
        size = _row_size(row)
        if used + size > _CHUNK_BYTES:
            chunks.append(FlowChunk())
            used = 0
        used += size
        chunks[-1] = _extended(chunks[-1], row)
    return chunks


def _row_size(row: HeldFlow | RecentFlow) -> int:
    if isinstance(row, HeldFlow):
        return _ROW_BYTES + len(row.key) + len(row.holder.encode())
    return _RECENT_BYTES + len(row.key)


def _extended(chunk: FlowChunk, row: HeldFlow | RecentFlow) -> FlowChunk:
    if isinstance(row, HeldFlow):
        return chunk._replace(flows=(*chunk.flows, row))
    return chunk._replace(recent=(*chunk.recent, row))
