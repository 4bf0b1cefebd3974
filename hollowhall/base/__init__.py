"""The small shared part: constants, problems, seams, circuits, params, events."""
