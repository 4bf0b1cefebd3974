"""The history checker: judges what was observed from outside, and imports no code of the daemons."""
