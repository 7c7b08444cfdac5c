"""Share of the requested value that was served, computed from the record of one run."""

from __future__ import annotations

from brackenlane.lab.simulation.record import Operation, Record


def operation_value(operation: Operation) -> float:
    """Value of one operation: full within its latency objective, reduced after it, 0 past the time limit."""
    cls = operation.cls
    if operation.answered_at is None:
        return 0.0
    took = operation.answered_at - operation.started_at
    aim = min(cls.time_limit, cls.latency_objective + cls.objective_stretch * operation.work)
    if took > cls.time_limit:
        return 0.0
    share = 1.0 if took <= aim else cls.late_value
    return share * cls.value_weight * (cls.stale_value if operation.stale else 1.0)


def served_value(record: Record) -> float:
    """Share of the total requested value that was served."""
    requested = sum(operation.cls.value_weight for operation in record.operations.values())
    return sum(map(operation_value, record.operations.values())) / requested if requested else 1.0
