"""A scheduler's own copy of the record, kept current with entries and snapshots from the store."""

import asyncio

from ..base import constants
from ..base.circuit import unpack


class RecordTailMixin:
    """Tails the store's log and applies it to the record."""

    def take(self, answer):
        """Applies an answer of the store: entries, a whole snapshot, or one chunk of a snapshot."""
        if "picture" in answer:
            self.load(answer["picture"], answer["to"])
        elif "all" in answer:
            self.add_snapshot_chunk(answer)
        else:
            for index, packed in answer["es"]:
                if index > self.applied:
                    entry, checksum_index = (
                        unpack(packed),
                        (index - 1)
                        // constants.CHECKSUM_INTERVAL_ENTRIES
                        * constants.CHECKSUM_INTERVAL_ENTRIES,
                    )
                    if checksum_index >= self.snapshot_index and checksum_index not in self.checksums:
                        self.checksums = dict(
                            [*self.checksums.items(), (checksum_index, self.record.sum)][
                                -constants.CHECKSUMS_KEPT :
                            ]
                        )
                    if entry[0] == "turn":
                        self.note_batch(entry[1])
                    self.record.apply_entry(op=entry[0], d=entry[1])
                    self.applied = index
            self.applied = max(self.applied, answer["to"])
        self.news()

    def add_snapshot_chunk(self, chunk):
        """Collects the chunks of one replica's snapshot, and loads it when it is complete."""
        key = [chunk["by"], chunk["i"]]
        if self.snapshot_chunks is None or self.snapshot_chunks[0] != key:
            self.snapshot_chunks = (key, bytearray())
        if chunk["off"] == len(self.snapshot_chunks[1]):
            self.snapshot_chunks[1].extend(chunk["b"])
        if len(self.snapshot_chunks[1]) >= chunk["all"]:
            snapshot, self.snapshot_chunks = unpack(bytes(self.snapshot_chunks[1])), None
            self.load(snapshot["record"], snapshot["i"])

    def load(self, snapshot, index):
        """Replaces the record by a snapshot at `index`, if that is newer."""
        if index > self.applied:
            self.record.load(snapshot)
            self.runtime.spend(s=self.record.task_count() * constants.LOAD_TASK_CPU_TIME)
            self.applied = self.snapshot_index = index
            self.checksums = {}

    def tail_request(self):
        """The body of a `tail` request: from where on, and which chunk of a snapshot comes next."""
        request = {"i": self.applied, "level": constants.LEVEL}
        return (
            request | {"of": self.snapshot_chunks[0], "off": len(self.snapshot_chunks[1])}
            if self.snapshot_chunks
            else request
        )

    async def tail(self):
        """Long-polls the store for entries, for as long as the daemon lives."""
        while True:
            result = await self.ask_any_member(
                op="tail",
                request=self.tail_request(),
                at=self.snapshot_chunks[0][0] if self.snapshot_chunks else "",
                wait=constants.LONG_POLL_TIMEOUT + 1,
            )
            if result.ok:
                self.take(result.value)
            else:
                await asyncio.sleep(constants.RECONNECT_DELAY / 2)

    async def tail_to(self, index, *, wait):
        """Polls the store until our record holds entry `index`. False if `wait` seconds did not suffice."""
        deadline = self.runtime.now() + wait
        while self.applied < index and self.runtime.now() < deadline:
            result = await self.ask_any_member(
                op="tail", wait=0.5, request=self.tail_request() | {"wait": 0.0}
            )
            if result.ok:
                self.take(result.value)
            if self.applied < index:
                await asyncio.sleep(constants.BATCH_INTERVAL_MIN)
        return self.applied >= index
