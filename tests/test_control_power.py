"""Losses of power: a snapshot must be found after one, which takes a sync of its folder; and a member
that shuts down in order must leave the voters first, so that a later loss keeps a majority."""

import itertools
import os

import pytest
from test_hall import ControllerWorld, all_members_up

from hollowhall.base.seam import Disk


class Folder:
    """Records renames and syncs, to derive the states that a loss of power may leave of a folder."""

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
        """Yields every state in which the folder may be found."""
        for kept in itertools.product((False, True), repeat=len(self.pending)):
            state = dict(self.names)
            state.update(entry for entry, is_kept in zip(self.pending, kept) if is_kept)
            yield state


class DiskWithoutFolderSync(Disk):
    """A faulty version that does not sync the folder after a rename."""

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
    world = ControllerWorld(seed=4, count=3)

    async def go():
        world.start_all()
        await world.until(all_members_up(world, 3))
        await world.until(lambda: all(hall.store.membership["v"] >= 1 for hall in world.halls()))
        world.add_controller(9)
        world.start("hall-9")
        await world.until(lambda: all(len(hall.store.voters) == 4 for hall in world.halls()))
        old, lost = [name for name in sorted(world.nodes) if name.startswith("hall") and name != "hall-9"][:2]
        before = world.loop.virtual_time
        await world.leave(old)
        assert world.loop.virtual_time - before < 2.5, "well within half of the platform's grace"
        world.power_off(world.cards[lost]["machine"])
        await world.until(lambda: len(world.primary()) == 1, limit=5)
        assert all(len(hall.store.voters) <= 3 for hall in world.halls())

    world.run(go())
