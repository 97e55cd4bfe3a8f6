"""Detection and ejection of backend servers that fail or are slow."""

from persimmonreach.outliers._detector import OutlierDetector
from persimmonreach.outliers._ejections import Ejections
from persimmonreach.outliers._failure_evidence import FailureEvidence

__all__ = ('Ejections', 'FailureEvidence', 'OutlierDetector')
