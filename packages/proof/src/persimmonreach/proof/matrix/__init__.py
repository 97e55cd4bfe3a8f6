"""Fault matrix: every change or fault while every other one is in progress."""

from persimmonreach.proof.matrix._cases import Case, generate_cases, run_case
from persimmonreach.proof.matrix._changes import CHANGES, Change

__all__ = (
    'CHANGES',
    'Case',
    'Change',
    'generate_cases',
    'run_case',
)
