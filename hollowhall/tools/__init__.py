"""The commands, by purpose; run.py has those of the daemons."""
