"""Pending requests. The callback of a request that waits for a result is kept in a slot, and the slot's index
and generation travel with the request. A result that arrives after the slot was released finds another
generation and is dropped. The number of slots is fixed: when all are in use, a request is refused."""


class Slab:
    """A fixed number of slots for callbacks; `n` are in use."""

    def __init__(self, *, cap):
        self.cap, self.callbacks, self.gens, self.free, self.n = cap, [], [], [], 0

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
            self.gens.append(0)
        self.n += 1
        return index, self.gens[index]

    def take(self, *, i, g):
        """Releases slot `i` and returns its callback; None unless its generation is `g`."""
        if not 0 <= i < len(self.callbacks) or self.gens[i] != g or self.callbacks[i] is None:
            return None
        callback, self.callbacks[i] = self.callbacks[i], None
        self.gens[i] += 1
        self.free.append(i)
        self.n -= 1
        return callback

    def wrap(self, *, i, g, around):
        """Replaces the callback in slot `i` by around(callback) if its generation is `g`."""
        if 0 <= i < len(self.callbacks) and self.gens[i] == g and self.callbacks[i] is not None:
            self.callbacks[i] = around(self.callbacks[i])

    def drain(self):
        """Releases all slots and returns their callbacks, in the order of the slots."""
        callbacks = []
        for index, callback in enumerate(self.callbacks):
            if callback is not None:
                callbacks.append(self.take(i=index, g=self.gens[index]))
        return callbacks
