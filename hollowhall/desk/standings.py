"""Whether a waiting job can still end by its aim, from best to worst (see aims.py)."""

IN_AIM, LATE, TOO_LATE = 0, 1, 2
