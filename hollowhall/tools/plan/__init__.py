"""Shows what a change would move, now and in the time ahead, and finds placements with a solver."""
