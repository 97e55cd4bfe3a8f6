"""Guarantees of a deployment, verified at callers and backend servers."""

from collections.abc import Iterator, Sequence

from persimmonreach.proof.simulation import SERVICE, CallerFlow, Deployment

# Callers send the next request 0.3 s after a response, and retransmit at least every
# 1.6 s.
_MAX_SILENCE_S = 3.0


def find_violations(deployment: Deployment, flows: Sequence[CallerFlow]) -> Iterator[str]:
    """Yield one line for each guarantee that was violated."""
    wrongly_reset = deployment.find_wrongly_reset(flows)
    if wrongly_reset:
        yield f'{len(wrongly_reset)} flows reset although their holder lives'
    requests = [executed.request for executed in deployment.executed_requests]
    repeated_count = len(requests) - len(set(requests))
    if repeated_count:
        yield f'{repeated_count} requests run twice'
    misrouted_count = _count_misrouted(deployment)
    if misrouted_count:
        yield f'{misrouted_count} requests run by another service'
    silent = [flow for flow in flows if _is_silent(deployment, flow)]
    if silent:
        yield f'{len(silent)} open flows without an answer for {_MAX_SILENCE_S} s'


def _count_misrouted(deployment: Deployment) -> int:
    other_agents = {
        process.registration.agent
        for process in deployment.agents.values()
        if process.registration.service != SERVICE
    }
    return sum(
        executed.backend.split('-')[0] in other_agents
        for executed in deployment.executed_requests
    )


def _is_silent(deployment: Deployment, flow: CallerFlow) -> bool:
    if flow.state != 'open' or deployment.find_holder(flow) is None:
        return False
    last_response_at = max(flow.responded_at.values(), default=flow.opened_at)
    return flow.has_pending_request and deployment.now - last_response_at > _MAX_SILENCE_S
