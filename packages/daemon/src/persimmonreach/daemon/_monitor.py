"""Polls the state and the open flows of the backend server over HTTP."""

from collections.abc import Callable
from http import HTTPMethod, HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from persimmonreach.core import Action, Count, Endpoint, FlowKey
from persimmonreach.discovery import AgentState
from persimmonreach.forwarding import (
    BackendFlowsListed,
    BackendProbed,
    BackendStatusReported,
)
from persimmonreach.packets.builder import is_flow_key
from persimmonreach.runtime import Task
from persimmonreach.runtime.http_client import HttpClient

# With 0.5 s, a backend server that turns cold without notice is overloaded before
# the agent detects the change.
POLL_INTERVAL_S: Final = 0.25
# Consecutive failed polls after which the backend server counts as down.
DOWN_AFTER_FAILED_POLLS: Final = 6
HTTP_TIMEOUT_S: Final = 2.0
# The HTTP endpoint does not report how long the cold state lasts; the first report
# of another state ends it.
_COLD_REMAINING_S: Final = 3600.0
# The HTTP endpoint does not report slots; those of the declaration apply.
_UNKNOWN_SLOTS: Final = 0
_BACKEND_ID: Final = 'backend'
_AGENT_STATES: Final = MappingProxyType(
    {
        'cold': AgentState.READY,
        'warm': AgentState.READY,
        'draining': AgentState.DRAINING,
        'down': AgentState.DOWN,
    },
)


class BackendUnavailableError(OSError):
    """The backend server is unreachable, or its response is malformed."""


class BackendHttpClient:
    """Client of the HTTP endpoints of a backend server.

    Parameters
    ----------
    endpoint
        Address of the HTTP server.

    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._http = HttpClient(endpoint, HTTP_TIMEOUT_S)

    def read_state(self) -> str:
        """Return the reported state.

        The known states are ``cold``, ``warm``, ``draining`` and ``down``.

        Raises
        ------
        BackendUnavailableError
            If there is no valid response.

        """
        return str(self._get_field('/health', 'state'))

    def read_open_flows(self) -> tuple[FlowKey, ...]:
        """Return the reported keys of the open flows, which may be invalid.

        Raises
        ------
        BackendUnavailableError
            If there is no valid response.

        """
        try:
            flow_keys = [
                bytes.fromhex(key)
                for key in self._get_field('/connections', 'connections')
            ]
        except (TypeError, ValueError) as error:
            raise BackendUnavailableError(
                f'expected flow keys as hexadecimal digits: {error}'
            ) from error
        return tuple(FlowKey(key) for key in flow_keys)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def _get_field(self, path: str, field: str) -> Any:
        try:
            response = self._http.request(HTTPMethod.GET, path)
        except OSError as error:
            raise BackendUnavailableError(str(error)) from error
        if response.status != HTTPStatus.OK:
            raise BackendUnavailableError(
                f'{path}: expected status 200, got {response.status}'
            )
        if not isinstance(response.body, dict) or field not in response.body:
            raise BackendUnavailableError(
                f'{path}: expected field {field} is missing in the response'
            )
        return response.body[field]


class BackendMonitorTask(Task):
    """Polls the backend server and reports its state and open flows to the agent.

    Parameters
    ----------
    http_client
        Client of the backend server; closed with the task.
    post
        Called with each event for the agent.
    sink
        Called with the counts of unknown states and of invalid flow keys.

    """

    def __init__(
        self,
        http_client: BackendHttpClient,
        post: Callable[[Any], None],
        sink: Callable[[Action], None],
    ) -> None:
        super().__init__(tick_interval_s=POLL_INTERVAL_S)
        self._http_client = http_client
        self._post = post
        self._sink = sink
        self._failed_polls = 0
        self._are_flows_listed = False
        self._incarnation = 1
        self._sequence = 0
        self._resources.callback(http_client.close)

    def receive(self, message: Any) -> None:
        """Ignore messages; the task only polls."""

    def tick(self) -> None:
        """Poll the backend server once."""
        try:
            self._poll()
        except BackendUnavailableError:
            self._record_failed_poll()

    def _record_failed_poll(self) -> None:
        self._failed_polls += 1
        if self._failed_polls != DOWN_AFTER_FAILED_POLLS:
            return
        # If the backend server responds again, it counts as a new incarnation with
        # other flows.
        self._incarnation += 1
        self._are_flows_listed = False
        self._post(BackendProbed(False))

    def _poll(self) -> None:
        state = self._http_client.read_state()
        if not self._are_flows_listed:
            self._report_open_flows()
        self._failed_polls = 0
        if state not in _AGENT_STATES:
            # The backend server responds, so an unknown state is only counted; it
            # must end neither the flows nor the agent.
            self._sink(Count('backend_states_unknown'))
            return
        self._sequence += 1
        cold_s = _COLD_REMAINING_S if state == 'cold' else 0
        self._post(
            BackendStatusReported(
                _BACKEND_ID,
                self._incarnation,
                self._sequence,
                _AGENT_STATES[state],
                _UNKNOWN_SLOTS,
                cold_s,
            ),
        )

    def _report_open_flows(self) -> None:
        listed_keys = self._http_client.read_open_flows()
        # No packet can be built for an invalid key, so each later probe or reset
        # of such a flow would fail.
        flow_keys = tuple(key for key in listed_keys if is_flow_key(key))
        if len(flow_keys) < len(listed_keys):
            self._sink(Count('connections_unreadable', len(listed_keys) - len(flow_keys)))
        self._post(BackendFlowsListed(flow_keys))
        self._are_flows_listed = True
