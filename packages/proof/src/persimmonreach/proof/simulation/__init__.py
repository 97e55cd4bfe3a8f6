"""Simulation of a deployment: the product's state machines in virtual time."""

from persimmonreach.proof.simulation._caller import CallerFlow
from persimmonreach.proof.simulation._deployment import (
    OTHER_SERVICE,
    OTHER_SERVICE_ADDRESS,
    SERVICE,
    SERVICE_ADDRESS,
    Deployment,
    DeploymentPlan,
)
from persimmonreach.proof.simulation._network import NetworkConditions
from persimmonreach.proof.simulation._processes import (
    SimulatedAgent,
    SimulatedEntry,
    SimulatedProcess,
)

__all__ = (
    'OTHER_SERVICE',
    'OTHER_SERVICE_ADDRESS',
    'SERVICE',
    'SERVICE_ADDRESS',
    'CallerFlow',
    'Deployment',
    'DeploymentPlan',
    'NetworkConditions',
    'SimulatedAgent',
    'SimulatedEntry',
    'SimulatedProcess',
)
