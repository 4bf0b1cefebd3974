"""What a waiting job can still come to, from best to worst."""

IN_AIM, LATE, TOO_LATE = 0, 1, 2
