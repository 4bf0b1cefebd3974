"""Model checker of the store: runs the real replica code, one event at a time.

A search picks each next event (delivery, loss or duplication of a message, a disk sync, a timeout,
a crash, a restart, an operator's configuration change or read, a membership change) and checks the
named invariants after each event. Searches are breadth-first to a given depth, or seeded random walks."""
