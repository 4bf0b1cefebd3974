"""Where the tests find the adapter's modules."""

import pathlib
import sys

sys.path.insert(1, str(pathlib.Path(__file__).parent.parent / "platform"))
