"""Fault matrix: each fault while each other change is under way."""

from persimmonreach.proof.matrix._cases import Case, all_cases, play
from persimmonreach.proof.matrix._changes import CHANGES, Change

__all__ = ('CHANGES', 'Case', 'Change', 'all_cases', 'play')
