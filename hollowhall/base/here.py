"""An RPC client for a daemon in the same process: a request is a direct call. Arguments and results are not
copied, so neither side may modify what it was given; whatever is kept is first packed into an entry."""

import asyncio

from . import constants
from .problems import Late


class LocalClient:
    """Has the interface of an RPC client for another process."""

    up, closed = True, False

    def __init__(self, *, host, caller):
        self.host, self.caller, self.level, self.connection = host, caller, constants.LEVEL, None

    def send_request(self, *, op, request, callback, wait=constants.REQUEST_TIMEOUT):
        """Calls the callback once: with the result, or with Late after `wait` seconds."""
        answered = []

        def once(result):
            if not answered:
                answered.append(1)
                timer.cancel()
                callback(result)

        timer = asyncio.get_running_loop().call_later(wait, lambda: once(Late(op=op)))
        self.host.serve(op=op, request=request, callback=once, caller=self.caller)

    async def call(self, *, op, request, wait=constants.REQUEST_TIMEOUT):
        """Returns the result, or Late after `wait` seconds."""
        future = asyncio.get_running_loop().create_future()
        timer = asyncio.get_running_loop().call_later(
            wait, lambda: future.done() or future.set_result(Late(op=op))
        )
        self.host.serve(
            op=op,
            request=request,
            callback=lambda result: future.done() or future.set_result(result),
            caller=self.caller,
        )
        try:
            return await future
        finally:
            timer.cancel()

    def silent(self, *, now):
        return False

    def close(self):
        pass
