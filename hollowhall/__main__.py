"""`python -m hollowhall` is the same as `hollowhall`."""

from .cli import main

main()
