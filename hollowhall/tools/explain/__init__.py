"""Reports on the scheduler's decisions from its log (docs/decisions.md, docs/operators.md)."""
