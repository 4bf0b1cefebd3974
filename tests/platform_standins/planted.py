"""Planted histories: each is marked with the rule that its `bad` variants break, and played
against the checker by the test file that holds it."""

import pytest

from .rows import config, lawful, table
from .rules import judge


class Pairs:
    """The planted histories of one test file."""

    def __init__(self):
        self.all = []

    def pair(self, rule, **variants):
        """Marks a history as planted: `bad` parameters break the rule, the others do not."""

        def wrap(f):
            for name, kw in variants.items():
                self.all.append(
                    pytest.param(rule, f, kw, name.startswith("bad"), id=f"{rule}-{f.__name__}-{name}")
                )
            return f

        return wrap


def found(plant, kw):
    """The rules that the checker finds broken in a lawful history with this planted."""
    rows = lawful()
    plant(rows, **kw)
    return {b.rule for b in judge(rows)}


def two_versions(r, *, prefixes=("/q/", "/n/")):
    config(r, 3000, table(8, prefixes=prefixes), base=5)
