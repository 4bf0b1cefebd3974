"""What operators run beside a fleet: its commands over HTTP, and restore."""
