"""Service time and load of a backend server, and the delay expected from them."""

from persimmonreach.load._decay import DecayingSum
from persimmonreach.load._estimates import DelayEstimates
from persimmonreach.load._load_table import AgentProcess, LoadTable
from persimmonreach.load._medians import LoadMedians
from persimmonreach.load._meter import LoadMeter
from persimmonreach.load._service_time import ServiceTimeEstimator
from persimmonreach.load.messages import AgentLoad

__all__ = (
    'AgentLoad',
    'AgentProcess',
    'DecayingSum',
    'DelayEstimates',
    'LoadMedians',
    'LoadMeter',
    'LoadTable',
    'ServiceTimeEstimator',
)
