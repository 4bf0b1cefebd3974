"""Who wants to know that a peer owes a sign of life which it was asked for, or that its connection is
down: whoever waits for an answer there may want to ask elsewhere as well."""

import asyncio


class Doubts:
    """Of one connection."""

    def __init__(self):
        self.futures = []

    def future(self, *, up):
        """A future that ends with the next doubt; at once where the connection is not `up`."""
        future = asyncio.get_running_loop().create_future()
        self.futures = [x for x in self.futures if not x.done()] + [future]
        if not up:
            self.tell()
        return future

    def tell(self):
        """The peer is in doubt now: all futures end."""
        futures, self.futures = self.futures, []
        for future in futures:
            if not future.done():
                future.set_result(None)
