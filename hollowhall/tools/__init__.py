"""The subcommands, one package per purpose; run.py has those that run the daemons."""
