"""hollowhall: a cluster scheduler that sits quiet and holds firm."""

__version__ = "0.2.0"
