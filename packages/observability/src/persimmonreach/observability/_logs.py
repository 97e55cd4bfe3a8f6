"""Structured logs: JSON lines on standard output, rate-limited and non-blocking."""

import os
import time
from collections import Counter, deque
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any, Final, NamedTuple

import gevent
from gevent.event import Event
from gevent.socket import wait_write

from persimmonreach.core import LogDecision, LogStateChange
from persimmonreach.observability._library import (
    import_structlog,
    import_structlog_in_steps,
)

# Limit for each event name; excess lines are suppressed and counted.
MAX_LINES_PER_S: Final = 20
# Lines queued for a slow reader; about 300 KB.
MAX_QUEUED_LINES: Final = 1000
# Importing structlog takes as long as the rest of the start of a process. It is delayed
# because callers wait for the start, but nothing waits for the log lines.
FIRST_RENDER_DELAY_S: Final = 2.0
# Time limit for writing the remaining lines when the process ends.
CLOSE_TIMEOUT_S: Final = 0.5
# Lines rendered before other greenlets run; rendering a line takes about 50 us.
BATCH_LINES: Final = 16
_STDOUT_DESCRIPTOR: Final = 1


class LogLine(NamedTuple):
    """Log line that is not rendered yet.

    Attributes
    ----------
    time_s
        Wall-clock time in seconds since the epoch.
    level
        Name of the log level.
    event
        Constant event name.
    fields
        All other fields.

    """

    time_s: float
    level: str
    event: str
    fields: Mapping[str, Any]


class LineRateLimiter:
    """Limits the rate of the lines of each event name.

    Excess lines are suppressed and counted; the log adds their number to the next line
    of the event that is admitted.

    Parameters
    ----------
    max_lines_per_s
        Maximum number of lines of one event within a second.

    """

    def __init__(self, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._current_second = 0
        self._line_counts: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def admit(self, event: str, now: float) -> bool:
        """Return whether a line may be written, and count it.

        Parameters
        ----------
        event
            Event name of the line.
        now
            Wall-clock time in seconds.

        Returns
        -------
        bool
            False if the limit of the event is reached in the current second.

        """
        second = int(now)
        if second != self._current_second:
            self._current_second = second
            self._line_counts.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] <= self._max_lines_per_s:
            return True
        self._suppressed[event] += 1
        return False

    def take_suppressed(self, event: str) -> int:
        """Return and reset the number of suppressed lines of ``event``."""
        return self._suppressed.pop(event, 0)


class EventLog:
    """Log of a process.

    The logging methods only append lines to a queue of limited length, and a greenlet
    renders and writes them. Lines are dropped and counted while the queue is full.

    Parameters
    ----------
    instance
        Id of the instance, written to each line.
    descriptor
        File descriptor to write to; it is set to non-blocking mode.
    first_render_delay_s
        Delay before the first line is rendered.

    Raises
    ------
    OSError
        If ``descriptor`` is not open.

    """

    def __init__(
        self,
        instance: str,
        descriptor: int = _STDOUT_DESCRIPTOR,
        first_render_delay_s: float = FIRST_RENDER_DELAY_S,
    ) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._rate_limiter = LineRateLimiter()
        self._queue: deque[LogLine] = deque()
        self._line_queued = Event()
        self._dropped_lines = 0
        self._is_reader_gone = False
        self._logger: Any = None
        os.set_blocking(descriptor, False)
        self._greenlet = gevent.spawn_later(first_render_delay_s, self._write_queued)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped because the queue was full or the reader gone."""
        return self._dropped_lines

    def info(self, event: str, **fields: Any) -> None:
        """Log a line of level info.

        Parameters
        ----------
        event
            Constant event name, in snake case.
        **fields
            Other fields of the line; values without a JSON type are written as ``str``.

        """
        self._enqueue('info', event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log a line of level warning, for an event that needs attention.

        Parameters
        ----------
        event
            Constant event name, in snake case.
        **fields
            Other fields of the line; values without a JSON type are written as ``str``.

        """
        self._enqueue('warning', event, fields)

    def log_state_change(self, change: LogStateChange) -> None:
        """Log a change of state as one line."""
        self.info(change.event, subject=change.subject, detail=change.detail)

    def log_decision(self, decision: LogDecision) -> None:
        """Log a decision about a flow as one line."""
        self.info(
            decision.event,
            flow=decision.flow.hex(),
            outcome=decision.outcome,
            **decision.inputs,
        )

    def close(self) -> None:
        """Write the remaining lines; those not written within the time limit are lost."""
        self._greenlet.kill()
        if self._logger is None:
            self._logger = self._make_logger(import_structlog())
        with gevent.Timeout(CLOSE_TIMEOUT_S, exception=False):
            self._write_batch(len(self._queue))

    def _enqueue(self, level: str, event: str, fields: dict[str, Any]) -> None:
        now = time.time()
        if not self._rate_limiter.admit(event, now):
            return
        if self._is_reader_gone or len(self._queue) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        # Taken only for a line that is written, so that the number is not lost.
        suppressed = self._rate_limiter.take_suppressed(event)
        if suppressed:
            fields['left_out'] = suppressed
        self._queue.append(LogLine(now, level, event, fields))
        self._line_queued.set()

    def _write_queued(self) -> None:
        self._logger = self._make_logger(import_structlog_in_steps())
        while True:
            self._line_queued.wait()
            self._line_queued.clear()
            while self._queue:
                self._write_batch(BATCH_LINES)
                gevent.sleep(0)

    def _write_batch(self, max_lines: int) -> None:
        for _ in range(min(max_lines, len(self._queue))):
            line = self._queue.popleft()
            timestamp = datetime.fromtimestamp(line.time_s, UTC).isoformat(
                timespec='milliseconds'
            )
            write = getattr(self._logger, line.level)
            try:
                write(
                    line.event,
                    timestamp=timestamp,
                    instance=self._instance,
                    **line.fields,
                )
            except OSError:
                # The reader has closed the pipe. The process serves without a log.
                self._dropped_lines += len(self._queue) + 1
                self._queue.clear()
                self._is_reader_gone = True
                return

    def _make_logger(self, structlog: Any) -> Any:
        return structlog.wrap_logger(
            structlog.WriteLogger(_NonBlockingFile(self._descriptor)),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.JSONRenderer(default=str),
            ],
        )


class _NonBlockingFile:
    """File whose writes let other greenlets run while the descriptor is not writable."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, text: str) -> None:
        """Write the whole of ``text``.

        Raises
        ------
        OSError
            If the reader has closed the pipe.

        """
        remaining = text.encode()
        while remaining:
            try:
                written = os.write(self._descriptor, remaining)
            except BlockingIOError:
                wait_write(self._descriptor)
            else:
                remaining = remaining[written:]

    def flush(self) -> None:
        """Do nothing; writes are not buffered. structlog requires the method."""
