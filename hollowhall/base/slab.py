"""Pending requests. The callback of a request that waits for a result is kept in a slot, and the slot's index
and generation travel with the request. A result that arrives after the slot was released finds another
generation and is dropped. The number of slots is fixed: when all are in use, a request is refused."""


class PendingRequests:
    """A fixed number of slots for callbacks; `n` are in use."""

    def __init__(self, *, capacity):
        self.cap, self.callbacks, self.generations, self.free, self.n = capacity, [], [], [], 0

    def put(self, *, callback):
        """Returns (index, generation), or None when all slots are in use."""
        if self.n >= self.cap:
            return None
        if self.free:
            index = self.free.pop()
            self.callbacks[index] = callback
        else:
            index = len(self.callbacks)
            self.callbacks.append(callback)
            self.generations.append(0)
        self.n += 1
        return index, self.generations[index]

    def take(self, *, index, generation):
        """Releases slot `i` and returns its callback; None unless its generation is `g`."""
        if (
            not 0 <= index < len(self.callbacks)
            or self.generations[index] != generation
            or self.callbacks[index] is None
        ):
            return None
        callback, self.callbacks[index] = self.callbacks[index], None
        self.generations[index] += 1
        self.free.append(index)
        self.n -= 1
        return callback

    def wrap(self, *, index, generation, around):
        """Replaces the callback in slot `i` by around(callback) if its generation is `g`."""
        if (
            0 <= index < len(self.callbacks)
            and self.generations[index] == generation
            and self.callbacks[index] is not None
        ):
            self.callbacks[index] = around(self.callbacks[index])

    def drain(self):
        """Releases all slots and returns their callbacks, in the order of the slots."""
        callbacks = []
        for index, callback in enumerate(self.callbacks):
            if callback is not None:
                callbacks.append(self.take(index=index, generation=self.generations[index]))
        return callbacks
