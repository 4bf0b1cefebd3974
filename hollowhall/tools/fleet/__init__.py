"""A fleet of real processes on one machine, its stand-ins, trials, faults and roll-outs."""
