"""Measurements: store, clock and crowd, placement, processor time."""
