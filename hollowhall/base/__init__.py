"""Shared by all daemons: constants, failures, the runtime, RPC connections, settings and log events."""
