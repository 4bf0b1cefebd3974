"""The configuration that a gateway holds, and how old that knowledge is.

A long poll at one store member brings each version. That this member is silent is found out too late, so a
gateway also asks the members in turn for the number of the newest version, and fetches a version that the long
poll has not brought. A member answers only if its state is recent (almanac/polls.py). What a gateway would
refuse by a configuration that was not confirmed lately waits for the next confirmation. Only a gateway that
looks up its callers' queues in the configuration needs this; elsewhere the primary decides about queues."""

import asyncio
import math
from dataclasses import dataclass
from functools import partial
from typing import Any

from ..base import constants


@dataclass(frozen=True, kw_only=True)
class VersionAnswer:
    """A store member's answer to the question for the newest version."""

    address: str
    asked_at: float  # s
    result: Any


class ConfigurationMixin:
    """Follows the configuration by a long poll, and confirms its version."""

    confirms_configuration = (
        False  # whether callers are refused by the configuration held; set before the start
    )

    def open_configuration(self):
        self.confirmed_at = -math.inf  # s; all versions acknowledged before then are in the one held
        self.confirmation_waiters = []  # called with whether the configuration is confirmed
        self.confirmation_wanted, self.configuration_changed = asyncio.Event(), asyncio.Event()
        self.confirmations = 0  # counts rounds, so that members are asked in turn
        self.run_task(coroutine=self.follow_configuration(), name="charter")
        if self.confirms_configuration:
            self.run_task(coroutine=self.keep_confirmed(), name="confirm")

    async def follow_configuration(self):
        """Long-polls the configuration; only a version above the one held replaces it."""
        while True:
            result = await self.ask_any_member(
                op="charter",
                request={"version": self.charter["version"]},
                wait=constants.LONG_POLL_TIMEOUT + 1,
            )
            if result.ok:
                self.take_configuration(result.value)
            else:
                await asyncio.sleep(constants.RECONNECT_DELAY)

    def take_configuration(self, configuration):
        """Replaces the configuration held by a newer one; None is an answer without one."""
        if configuration is not None and configuration["version"] > self.charter["version"]:
            self.charter = configuration
            self.configuration_changed.set()

    # --- confirmation

    def is_confirmed(self):
        """Whether the configuration held was confirmed lately enough to refuse a request by it."""
        return self.runtime.now() - self.confirmed_at <= constants.CONFIRMATION_MAX_AGE

    def when_confirmed(self, callback):
        """Calls back once the configuration held is confirmed, with True, or once no store member has
        confirmed it, with False. Returns a function by which the caller withdraws."""
        if self.is_confirmed():
            callback(True)
            return lambda: None
        self.confirmation_waiters.append(callback)
        self.confirmation_wanted.set()
        return partial(self.withdraw_waiter, callback)

    def withdraw_waiter(self, callback):
        if callback in self.confirmation_waiters:
            self.confirmation_waiters.remove(callback)

    async def keep_confirmed(self):
        """Confirms the configuration held at least once a period, and at once while requests wait for it."""
        while True:
            self.confirmation_wanted.clear()
            confirmed = await self.confirm_configuration() and self.is_confirmed()
            waiters, self.confirmation_waiters = self.confirmation_waiters, []
            for callback in waiters:  # not called here: an error of one must not end the confirmations
                asyncio.get_running_loop().call_soon(callback, confirmed)
            try:
                async with asyncio.timeout(constants.CONFIRMATION_PERIOD):
                    await self.confirmation_wanted.wait()
            except TimeoutError:
                pass

    async def confirm_configuration(self):
        """Whether a store member confirmed the configuration held, or brought the newest one."""
        asked_at = self.runtime.now()
        if self.store_is_older():
            self.confirmed_at = asked_at
            return True
        answer = await self.ask_for_version()
        if answer is None:
            return False
        newest = answer.result.value["version"]
        if newest > self.charter["version"] and not await self.obtain_version(
            version=newest, address=answer.address
        ):
            return False
        self.confirmed_at = max(self.confirmed_at, answer.asked_at)
        return True

    def store_is_older(self):
        """Whether no connected store member can confirm a version, in a fleet that is being upgraded."""
        levels = [link.level for link in map(self.links.get, self.store_addresses) if link and link.up]
        return bool(levels) and max(levels) < constants.LEVEL_CONFIRMS_CONFIGURATION

    async def ask_for_version(self):
        """Asks the store members one after another until one answers; a member that is silent for
        CONFIRMATION_NEXT_DELAY is asked last for some time. Returns a VersionAnswer, or None."""
        answers, members, silent = asyncio.Queue(), self.members_to_ask(), []
        for position, address in enumerate(members):
            self.ask_member(address=address, answers=answers)
            silent.append(address)
            last = position == len(members) - 1
            wait = constants.CONFIRMATION_TIMEOUT if last else constants.CONFIRMATION_NEXT_DELAY
            answer = await self.next_answer(answers=answers, silent=silent, wait=wait, for_all=last)
            if answer is not None:
                return answer
            until = self.runtime.now() + constants.DEPRIORITIZED_FOR
            self.avoided_until |= dict.fromkeys(silent, until)
        return None

    async def next_answer(self, *, answers, silent, wait, for_all):
        """The first VersionAnswer with a version that arrives within `wait` seconds; None if there is none,
        or once a member has refused, unless `for_all` members have been asked and some are silent yet.
        Removes those that answered from `silent`."""
        try:
            async with asyncio.timeout(wait):
                while silent:
                    answer = await answers.get()
                    silent.remove(answer.address)
                    if answer.result.ok:
                        return answer
                    if not for_all:
                        return None
        except TimeoutError:
            pass
        return None

    def members_to_ask(self):
        """The connected store members that can answer, another one first each time; silent ones last."""
        now, self.confirmations = self.runtime.now(), self.confirmations + 1
        members = [
            address
            for address in self.store_addresses
            if self.link(addr=address).up
            and self.link(addr=address).level >= constants.LEVEL_CONFIRMS_CONFIGURATION
        ]
        first = self.confirmations % len(members) if members else 0
        return sorted(
            members[first:] + members[:first], key=lambda address: self.avoided_until.get(address, 0.0) >= now
        )

    def ask_member(self, *, address, answers):
        asked_at = self.runtime.now()
        self.link(addr=address).send_request(
            op="charter_version",
            request={},
            wait=constants.CONFIRMATION_TIMEOUT,
            callback=lambda result: answers.put_nowait(
                VersionAnswer(address=address, asked_at=asked_at, result=result)
            ),
        )

    async def obtain_version(self, *, version, address):
        """Waits a moment for the long poll to bring a version, then fetches it from a member that has it.
        Returns whether it is held now."""
        end = self.runtime.now() + constants.CONFIGURATION_PUSH_DELAY
        while self.charter["version"] < version and self.runtime.now() < end:
            self.configuration_changed.clear()
            try:
                async with asyncio.timeout(end - self.runtime.now()):
                    await self.configuration_changed.wait()
            except TimeoutError:
                break
        if self.charter["version"] < version:
            result = await self.link(addr=address).call(
                op="charter", request={"version": self.charter["version"]}
            )
            self.take_configuration(result.value if result.ok else None)
        return self.charter["version"] >= version
