"""The operators' commands: those that talk to a gateway over HTTP, and `restore`, which works on a disk."""
