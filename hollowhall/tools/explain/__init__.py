"""What the scheduler's log tells of its decisions (docs/decisions.md, docs/operators.md)."""
