"""The history checker: judges what was seen from outside, and imports nothing of ours."""
