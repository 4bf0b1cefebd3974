"""Model checking of the store: the real replica code, stepped one event at a time.

A scheduler picks each next event (delivery, loss or duplication of a message, a sync, a timeout,
a crash, a restart, an operator's order or read, a membership step) and named invariants are
checked after each. Searches are breadth-first to a stated depth, or random walks with a seed."""
