"""What a loss of power leaves of a snapshot whose folder was not synced, and a member that leaves in
order and asks to be taken out first."""

import itertools
import os

import pytest
from test_hall import Halls, up

from hollowhall.base.seam import Disk


class Folder:
    """Notes what the operating system was told, to work out what a loss of power may leave."""

    def __init__(self, monkeypatch):
        self.names, self.pending = {}, []
        real_replace, real_fsync = os.replace, os.fsync

        def replaced(source, target):
            with open(source, "rb") as file:
                self.pending.append((os.path.basename(target), file.read()))
            real_replace(source, target)

        def synced(fd):
            if os.path.isdir(f"/proc/self/fd/{fd}"):
                self.names.update(self.pending)
                self.pending = []
            real_fsync(fd)

        monkeypatch.setattr(os, "replace", replaced)
        monkeypatch.setattr(os, "fsync", synced)

    def after_power_loss(self):
        """Every state in which the folder may be found."""
        for kept in itertools.product((False, True), repeat=len(self.pending)):
            state = dict(self.names)
            state.update(entry for entry, is_kept in zip(self.pending, kept) if is_kept)
            yield state


class DiskWithoutFolderSync(Disk):
    def _dir(self):
        pass


@pytest.mark.parametrize("make, lasts", [(Disk, True), (DiskWithoutFolderSync, False)])
def test_a_snapshot_that_was_told_of_is_found_after_a_loss_of_power(tmp_path, monkeypatch, make, lasts):
    disk = make(folder=str(tmp_path))
    folder = Folder(monkeypatch)
    for body in (b"first", b"second"):
        disk._whole("snap", body)
        found = {state.get("snap") for state in folder.after_power_loss()}
        assert (found == {body}) == lasts


def test_one_of_an_even_number_is_taken_out_before_it_ends():
    w = Halls(seed=4, n=3)

    async def go():
        w.start_all()
        await w.until(up(w, 3))
        await w.until(lambda: all(h.store.conf["v"] >= 1 for h in w.halls()))
        w.add_hall(9)
        w.start("hall-9")
        await w.until(lambda: all(len(h.store.voters) == 4 for h in w.halls()))
        old, lost = [n for n in sorted(w.nodes) if n.startswith("hall") and n != "hall-9"][:2]
        t = w.loop.vt
        await w.leave(old)
        assert w.loop.vt - t < 2.5, "well within half of the platform's grace"
        w.power_off(w.cards[lost]["machine"])
        await w.until(lambda: len(w.primary()) == 1, limit=5)
        assert all(len(h.store.voters) <= 3 for h in w.halls())

    w.run(go())
