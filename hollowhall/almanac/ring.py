"""The store's log on disk: a fixed set of preallocated segment files that are reused in turn. Entries,
term and vote are written in frames, one frame per sync, one sync at a time (group commit). A frame has a
length, an index, a term and a checksum that is seeded with its file's sequence number, so that a frame
left from an earlier use of the file is never valid. A frame is written only after the previous one was
synced. A bad frame at the end is therefore a torn write, which recovery cuts off; a bad frame with a good
one after it is damage, which recovery refuses. Every frame has the term, the vote and whether this replica
counts, so any file can be reused."""

import struct
import zlib

from ..base import constants
from ..base.circuit import pack, unpack
from ..base.problems import DiskDamage, DiskFailed, Raised

FRAME_HEADER = struct.Struct(">4sIIQQQ")  # magic, length, checksum, file seq, index, term
MAGIC = b"HHr1"


def encode_frame(*, seq, index, term, body):
    """The bytes of a frame."""
    crc = zlib.crc32(struct.pack(">QQQ", seq, index, term) + body)
    return FRAME_HEADER.pack(MAGIC, len(body), crc, seq, index, term) + body


def decode_frame(*, buf, off, seq):
    """(body, offset of the next frame, file sequence, index) of the frame at `off`, or None if there is no
    valid one. If `seq` is None, a frame of any file sequence is valid."""
    if off + FRAME_HEADER.size > len(buf):
        return None
    magic, length, crc, found_seq, index, term = FRAME_HEADER.unpack_from(buf, off)
    if (
        magic != MAGIC
        or off + FRAME_HEADER.size + length > len(buf)
        or (seq is not None and found_seq != seq)
    ):
        return None
    body = bytes(buf[off + FRAME_HEADER.size : off + FRAME_HEADER.size + length])
    if zlib.crc32(struct.pack(">QQQ", found_seq, index, term) + body) != crc:
        return None
    return body, (off + FRAME_HEADER.size + length + 7) & ~7, found_seq, index


class LogSegments:
    """The segment files, and the snapshot beside them. `sequences` has each file's sequence number, 0 if
    the file is free; `last_indexes` the last entry in it."""

    def __init__(self, *, disk, files=constants.LOG_SEGMENTS, size=constants.LOG_SEGMENT_BYTES):
        self.disk, self.file_count, self.size = disk, files, size
        self.files, self.sequences, self.last_indexes = [], [], []
        self.current, self.offset, self.sequence = 0, 0, 0
        self.bytes = self.syncs = self.torn_frames = 0

    def load(self):
        """Reads everything back: (hard state, snapshot, entries). Raises Raised(DiskDamage) on damage.
        Must be called before put()."""
        names = [f"ring-{number:02d}" for number in range(self.file_count)]
        self.files = [self.disk.file(name=name, size=self.size) for name in names]
        buffers, found = [file.read() for file in self.files], []
        for number, buffer in enumerate(buffers):
            frame = decode_frame(buf=buffer, off=0, seq=None)
            if frame is not None:
                found.append((frame[2], number))
        found.sort()
        self.sequences, self.last_indexes = [0] * self.file_count, [0] * self.file_count
        self.check_heads(names=names, buffers=buffers, found=found)
        hard, entries = {}, []
        for position, (seq, number) in enumerate(found):
            self.sequences[number] = seq
            offset, last = 0, position == len(found) - 1
            while (frame := decode_frame(buf=buffers[number], off=offset, seq=seq)) is not None:
                offset, content = frame[1], unpack(frame[0])
                hard = content["h"]
                while entries and "x" in content and entries[-1][0] > content["x"]:
                    entries.pop()
                for entry in content["e"]:
                    while entries and entries[-1][0] >= entry[0]:
                        entries.pop()
                    entries.append(entry)
                self.last_indexes[number] = max(self.last_indexes[number], frame[3])
                if content.get("z"):
                    break
            else:
                self.check_tail(name=names[number], buf=buffers[number], offset=offset, seq=seq, last=last)
            if last:
                end = self.size if content.get("z") else offset
                self.current, self.offset, self.sequence = number, end, seq
        snapshot = self.load_saved_snapshot()
        if snapshot is not None:
            entries = [entry for entry in entries if entry[0] > snapshot["i"]]
            self.release(upto=snapshot["i"])
        expected = (snapshot["i"] if snapshot else 0) + 1
        for entry in entries:
            if entry[0] != expected:
                raise Raised(DiskDamage(file="ring", at=entry[0], why=f"entry {expected} is missing"))
            expected += 1
        return hard, snapshot, entries

    def check_heads(self, *, names, buffers, found):
        """Refuses a file whose first frame is bad but that holds a valid frame newer than all other files."""
        newest, valid = (found[-1][0] if found else 0), {number for _, number in found}
        for number, buffer in enumerate(buffers):
            at = buffer.find(MAGIC) if number not in valid else -1
            while at >= 0:
                frame = decode_frame(buf=buffer, off=at, seq=None)
                if frame is not None and frame[2] > newest:
                    raise Raised(DiskDamage(file=names[number], at=0, why="first frame is bad"))
                at = buffer.find(MAGIC, at + 1)

    def check_tail(self, *, name, buf, offset, seq, last):
        """Refuses a file with valid frames after a bad one, or without an end mark if it is not the last."""
        at = buf.find(MAGIC, offset)
        torn = at == offset
        while at >= 0:
            if decode_frame(buf=buf, off=at, seq=seq) is not None:
                raise Raised(DiskDamage(file=name, at=offset, why="good frames behind a bad one"))
            at = buf.find(MAGIC, at + 1)
        if not last:
            raise Raised(DiskDamage(file=name, at=offset, why="file ends before its end mark"))
        self.torn_frames += int(torn)

    def load_saved_snapshot(self):
        frame = self.snapshot_bytes()
        return frame and unpack(frame[0])

    def snapshot_bytes(self):
        """(body, index, term) of the snapshot on disk, or None."""
        data = self.disk.get(name="snap")
        if data is None:
            return None
        frame = decode_frame(buf=data, off=0, seq=0)
        if frame is None:
            raise Raised(DiskDamage(file="snap", at=0, why="checksum"))
        return frame[0], frame[3], FRAME_HEADER.unpack_from(data)[5]

    async def snap(self, *, snapshot):
        """Replaces the saved snapshot atomically and frees the files that it covers."""
        await self.disk.whole(
            name="snap",
            data=encode_frame(seq=0, index=snapshot["i"], term=snapshot["t"], body=pack(snapshot)),
        )
        self.release(upto=snapshot["i"])

    def release(self, *, upto):
        """Frees the files without entries above `upto`, except the current one."""
        for number in range(self.file_count):
            if number != self.current and self.last_indexes[number] <= upto:
                self.sequences[number] = 0

    def free_files(self):
        """The number of files that can be reused."""
        return sum(1 for number in range(self.file_count) if self.sequences[number] == 0)

    async def put(self, *, hard, entries, cut=None):
        """Writes and syncs one frame; raises Raised(DiskFailed). Must not be called concurrently. `cut`
        drops the entries above that index before `es` are added."""
        index, term = (entries[-1][0], entries[-1][1]) if entries else (0, 0)
        body = pack({"h": hard, "e": entries} | ({} if cut is None else {"x": cut}))
        size, end_mark_size = FRAME_HEADER.size + len(body) + 16, FRAME_HEADER.size + 512
        if size + end_mark_size > self.size:
            raise Raised(DiskFailed(file="ring", why="frame larger than a file"))
        try:
            if self.sequence == 0 or self.offset + size + end_mark_size > self.size:
                await self.next_file(hard)
            frame = encode_frame(seq=self.sequence, index=index, term=term, body=body)
            await self.files[self.current].put(off=self.offset, data=frame)
        except OSError as e:
            raise Raised(DiskFailed(file="ring", why=e.strerror or "")) from None
        self.offset = (self.offset + len(frame) + 7) & ~7
        self.last_indexes[self.current] = max(self.last_indexes[self.current], index)
        self.bytes, self.syncs = self.bytes + len(frame), self.syncs + 1

    async def next_file(self, hard):
        """Closes the current file with an end mark and continues in the next one."""
        following = (self.current + 1) % self.file_count if self.sequence else self.current
        if self.sequences[following] != 0:
            raise Raised(DiskFailed(file="ring", why="ring is full of unsnapped entries"))
        if self.sequence:
            end_mark = encode_frame(
                seq=self.sequence, index=0, term=0, body=pack({"h": hard, "e": [], "z": 1})
            )
            await self.files[self.current].put(off=self.offset, data=end_mark)
        self.sequence, self.current, self.offset = self.sequence + 1, following, 0
        self.sequences[following], self.last_indexes[following] = self.sequence, 0
