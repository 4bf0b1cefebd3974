"""What a change would move, now and ahead in time, and placements by a solver."""
