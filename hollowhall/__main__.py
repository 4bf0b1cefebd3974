"""Makes `python -m hollowhall` the same as the command `hollowhall`."""

from .cli import main

main()
