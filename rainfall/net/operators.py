"""The engine's part for operators: figures, endpoints taken out, another configuration;
and owed ends.
"""

from __future__ import annotations

import json
import time
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from rainfall.dispatch import (
    EndpointDisabled,
    EndpointEnabled,
    NotificationAcknowledged,
    SettingsChanged,
)
from rainfall.net.admin import Answer
from rainfall.net.config import Config, replacement
from rainfall.net.desk import Desk, level, log
from rainfall.net.faults import ConfigError
from rainfall.net.reconfigure import FIXED, WRITTEN, InForce, digest, examine, joint
from rainfall.net.store import Owed, Rules


class Operating(Desk):
    def told(self) -> dict[str, Any]:
        """The figures."""
        f = self.figures
        fleet = {} if self.fleet is None else {"fleet": self.fleet.told()}
        return {
            "fulfilled": f.fulfilled,
            "throttled": f.throttled,
            "faulted": f.faulted,
            "relayed": self.pool.relayed,
            "open_requests": len(self.store.messages),
            "registry_entries": len(self.hosts),
            "out_of_rotation": sum(
                self.dispatcher.is_avoided(self.numbers[name]) for name in self.hosts
            ),
            "cfg_accepted": f.accepted,
            "cfg_invalid": f.invalid,
            "journal": self.store.figures(),
            **fleet,
        }

    def rotate(self, name: str, out: bool, answer: Answer) -> None:
        """Operators take a target out or put it back; the yes comes once it is
        journaled and in force.
        """
        if self.predecessor.given:
            self.predecessor.rotate(name, out, answer)
            return
        if self.holding:
            self.later.append(lambda: self.rotate(name, out, answer))
            return
        if (
            not self.serving or self.closed
        ):  # the journal is not this process's, yet or any more
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        if name not in self.numbers:
            answer(HTTPStatus.NOT_FOUND, "no such endpoint\n")
            return
        if out is not (name in self.store.detached):
            log.info(
                "target %d (%s) %s by operators",
                self.numbers[name],
                name,
                "taken out" if out else "put back",
            )
            self.store.rotate(name, out)
            self.point_pool()
            self.events.append(
                EndpointDisabled(self.numbers[name])
                if out
                else EndpointEnabled(self.numbers[name])
            )
            self.round()
        done = "detached\n" if out else "attached\n"
        self.store.commit(
            lambda ok: (
                answer(HTTPStatus.OK, done)
                if ok
                else answer(
                    HTTPStatus.INSUFFICIENT_STORAGE,
                    "in force, but it would not outlast a restart\n",
                )
            )
        )

    def examine(self, text: bytes, answer: Answer) -> None:
        """What an apply of this configuration would find; no effect."""
        verdict = examine(text, self.config)
        status = HTTPStatus.OK if verdict.valid else HTTPStatus.UNPROCESSABLE_ENTITY
        answer(
            HTTPStatus.BAD_REQUEST if verdict.unreadable else status,
            json.dumps(verdict.told()),
        )

    def in_force(self) -> dict[str, str]:
        return self.force.told()

    # Notices

    def owed_ends(self) -> dict[str, Owed]:
        return self.store.owed_now(self.clock())

    def acknowledged(self, names: list[str]) -> None:
        for name in names:
            end = self.store.owed.get(name)
            self.store.told(name)
            if end is not None and end.order_key is not None:
                self.post(NotificationAcknowledged(name))
        self.store.flush()

    # A new configuration

    def reload(self) -> None:
        """SIGHUP: read the configuration again. One that cannot hold leaves all as it
        is.
        """
        old = self.config
        if self.predecessor.given:
            log.info("the new process reads the configuration")
            self.predecessor.reload()
            return
        if self.holding:
            self.later.append(self.reload)
            return
        try:
            new = replacement(old)
        except ConfigError as error:
            self.figures.invalid += 1
            log.error("the old configuration is kept: %s", error)
            return
        self.figures.accepted += 1
        if self.round_us:
            self.round()  # what has come till now is decided as it came
        later = [f for f in FIXED if getattr(new, f) != getattr(old, f)]
        fleet, waits = joint(old.fleet, new.fleet)
        self.config = replace(
            new,
            **{f: getattr(old, f) for f in later},
            known=old.known,
            seed=old.seed,
            fleet=fleet,
        )
        later = [WRITTEN.get(f, f) for f in later] + waits
        if self.closed:  # only an engine that begins again from the journal goes by it
            return
        self.force = InForce(
            digest({**new.raw, "durability": level(old)}), "SIGHUP", time.time()
        )
        self.share_sockets(new.sockets)
        self.store.most = self.store.bound(new.disk_bytes)
        if (new.settings, new.report_fields) != (old.settings, old.report_fields):
            self.retune(new)
        if self.fleet is not None and fleet is not None and fleet != old.fleet:
            self.fleet.reload(fleet)
        if new.discovery != old.discovery:
            self.watch.move(new.discovery)
            self.notices.move(new.discovery)
        log.info(
            "configuration read again: discovery at %s%s",
            new.discovery,
            f"; takes effect at the next start: {', '.join(later)}" if later else "",
        )

    def retune(self, new: Config) -> None:
        """New settings take hold everywhere between two rounds. Open messages keep what
        they came under.
        """
        s, apart = replace(new.settings, notifications_acknowledged=True), self.apart
        self.derive(s)
        if self.apart != apart:
            self.regroup(apart)
        self.server.settings = s
        self.watch.pushed = not s.subscribe_endpoint_list
        self.pool.settle(new.report_fields, s.idle_connection_us, s.connect_timeout_us)
        self.figures.cover(c.name for c in s.classes)
        self.store.settle(Rules(s.max_attempts, s.classes))
        self.events.append(SettingsChanged(s))
        if (
            self.round_us
        ):  # the first round of a start waits for the list, whatever comes meanwhile
            self.round()

    def regroup(self, before: set[str]) -> None:
        """Routes stand apart now, or no longer: a wait that was told binds whatever it
        may be the wait of.
        """
        places = {}
        for name, host in self.hosts.items():
            kind, number = str(host.raw.get("class")), self.numbers[name]
            if (kind in self.apart) is not (kind in before):
                places[number] = (
                    host.destination,
                    number if kind in self.apart else -1,
                )
        for (destination, route), until in list(self.pool.waits.items()):
            for number, place in places.items():
                if place[0] == destination and route in (-1, number):
                    self.pool.bind(place, until)
        for call in self.pool.calls.values():
            call.place = places.get(call.target, call.place)
