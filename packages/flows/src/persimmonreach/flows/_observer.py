"""Interface through which the flow table reports requests."""

from abc import ABC, abstractmethod

from persimmonreach.core import FlowKey


class RequestObserver(ABC):
    """Observer of the requests on the flows of a backend server.

    A request starts with the first payload packet of the caller while no other request of
    the flow waits, and ends with the first payload packet of the backend server.
    """

    @abstractmethod
    def on_opening(self, key: FlowKey, now: float) -> None:
        """Record that the SYN of a new flow is delivered; copies of it are not."""

    @abstractmethod
    def on_request(
        self, key: FlowKey, occupying: int, now: float, *, is_repeated: bool = False
    ) -> None:
        """Record the start of a request.

        Parameters
        ----------
        key
            Key of the flow.
        occupying
            Number of other flows that are being opened or wait for a response.
        now
            Current time, in seconds.
        is_repeated
            Whether the flow has carried a request before.

        """

    @abstractmethod
    def on_response(self, key: FlowKey, now: float) -> None:
        """Record the response to the request of a flow."""

    @abstractmethod
    def on_failure(self, key: FlowKey, now: float) -> None:
        """Record that the request of a flow ended without a response.

        The backend server has reset or closed the flow, or the flow has expired.
        """

    @abstractmethod
    def on_abandoned(self, key: FlowKey) -> None:
        """Record that the outcome of the request of a flow stays unknown.

        The caller has reset the flow, the agent has ended its flows because the backend
        server is gone, or the backend server does not hold the flow.
        """
