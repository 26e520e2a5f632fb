"""This forwarder as a member of the fleet: joins, beats, watches for changes, and keeps
its calls within what its lease and its shares allow. Imported only where the
configuration has `fleet`; see docs/parts/node.md.

One path on which authority moves: the answer to a beat. The watch only says that a beat
is worth it.
"""

from __future__ import annotations

import asyncio
import logging
import random
import re
import secrets
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from rainfall.dispatch import Dispatcher, Event, QuotaChanged
from rainfall.forwarder.config.fleet_config import FleetConfig
from rainfall.forwarder.config.loading import Config
from rainfall.forwarder.discovery.endpoint_watch import HttpClient
from rainfall.forwarder.fleet.heartbeat_messages import (
    BudgetShare,
    HeartbeatRefusal,
    HeartbeatResponse,
    encode_heartbeat,
)
from rainfall.forwarder.fleet.heartbeats import HeartbeatScheduler, now_us
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.forwarder.fleet.state_file import QuotaRecords, StateFile
from rainfall.forwarder.http1 import MalformedResponseError
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection import OutboundCall
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.holder import LeaseHolder, LeaseRequest

MAX_RETRY_MS = 60_000  # a longer "not now" is not to be believed: no lease is longer
STATE_WRITE_RETRY_S = 1.0  # before a record that could not be written is tried again
REPEAT_LOG_INTERVAL_S = (
    10.0  # between two lines that say the same of a service that stays away
)
DESTINATION_FORMAT = re.compile("0|[1-9][0-9]{0,9}", re.ASCII)  # a destination
log = logging.getLogger("rainfall.fleet")


class ForwarderContext(Protocol):
    """What a member of a fleet needs of the forwarder that it is part of."""

    config: Config
    dispatcher: Dispatcher
    store: MessageStore

    @property
    def clock(self) -> Callable[[], int]:
        """The module's clock, in microseconds."""
        ...

    def post(self, event: Event) -> None:
        """Tell the module of an event in the next round."""
        ...


class FleetMember:
    """`open` before the first round, `pause` and `resume` around a handover, `close` at
    the end.
    """

    def __init__(self, config: FleetConfig, forwarder: ForwarderContext) -> None:
        self.config, self.forwarder = config, forwarder
        self.advertised_address = str(config.listen or forwarder.config.listen)
        self.random = random.Random(
            secrets.randbits(64)
        )  # those that start as one must not act as one
        self.run_id = secrets.token_hex(8)
        self.state_file = StateFile(forwarder.config.state, forwarder.config.power)
        self.previous_token, records = self.state_file.read()
        self.quotas = FleetQuotas(config.budgets, config.drift, records, now_us())
        self.holder = LeaseHolder(config.lease_us, config.drift, self.random.random)
        self.holder.highest_seen = self.previous_token
        self.heartbeats = HeartbeatScheduler(
            self.holder, self.random, self.send_heartbeat
        )
        self.state = "joining"
        self.member_list: list[int] | None = None
        self.heartbeat_counts: Counter[str] = Counter()
        self.permit_at_us, self.last_write_s, self.last_log_s = (
            0,
            0.0,
            -REPEAT_LOG_INTERVAL_S,
        )

    # From the start to the end

    def start(self) -> None:
        """Write what a successor goes by, tell the module, and begin to beat."""
        # kept from here on, while little is held
        self.forwarder.dispatcher.state.queues.count_by_demand()
        self.write_state(self.quotas.records())
        self.publish_quotas()
        self.heartbeats.start(self.config.service)

    def pause(self) -> None:
        """Nothing leaves from here on; what a successor needs is on disk.

        A lease that is not renewed runs out, or is taken over by who shows its token.
        """
        self.heartbeats.stop()
        if self.quotas.persisted:
            self.write_state(self.quotas.close(now_us()))
            self.quotas.persisted = False

    def resume(self) -> None:
        """No successor came, nor wrote or sent anything: all is as it was."""
        self.quotas.reopen()
        self.holder.next_renewal_us = 0
        self.start()

    def write_state(self, records: QuotaRecords) -> None:
        self.on_state_written(
            self.state_file.write(
                *self.state_file.encode(
                    self.holder.token or self.previous_token, records
                )
            )
        )

    async def persist_quotas(self) -> None:
        """What is told binds a successor, too, before this process acknowledges it."""
        encoded = self.state_file.encode(
            self.holder.token or self.previous_token, self.quotas.records()
        )
        # A sync takes its time, and clients wait.
        self.on_state_written(
            await asyncio.to_thread(self.state_file.write, *encoded)
            if self.state_file.synced
            else self.state_file.write(*encoded)
        )

    def on_state_written(self, error: OSError | None) -> None:
        self.quotas.persisted, self.last_write_s = error is None, time.monotonic()
        if error is not None:
            log.error(
                "what a successor needs cannot be kept, so no budget's call leaves: %s",
                error,
            )

    def reload(self, config: FleetConfig) -> None:
        """Another address of the service, other reserves, another lease, between two
        rounds.
        """
        old, self.config = self.config, config
        self.holder.ttl_us = config.lease_us
        for destination in self.quotas.configure(config.budgets, now_us()):
            self.forwarder.post(QuotaChanged(destination, 0, 0, 0, 0))
        self.write_state(self.quotas.records())
        self.publish_quotas()
        if config.service != old.service:
            self.heartbeats.stop()
            self.holder.next_renewal_us = 0
            self.heartbeats.start(self.config.service)

    # The module and the last gate

    def publish_quotas(self) -> None:
        """Each budget as it stands, and a line for what is not as it was."""
        now = now_us()
        for destination in sorted(self.quotas.accounts):
            ahead_us = self.forwarder.clock() - now
            self.forwarder.post(self.quotas.quota_event(destination, now, ahead_us))
        self.log_changes(now)

    def acquire_permit(self, call: OutboundCall) -> int:
        """Asked with nothing between it and the first byte: see `Books.leaves`."""
        self.permit_at_us = now_us()
        return self.quotas.acquire_permit(call.throttle_scope[0], self.permit_at_us)

    def on_call_sent(self, call: OutboundCall) -> None:
        self.quotas.on_call_sent(call.throttle_scope[0], self.permit_at_us, now_us())

    def record_demand(
        self, destination: int, class_name: str, tenant: str | None
    ) -> None:
        self.quotas.record_demand(destination, demand_key(class_name, tenant), now_us())

    def tick(self) -> None:
        """Ten times a second."""
        now = now_us()
        if (
            not self.quotas.persisted
            and time.monotonic() - self.last_write_s >= STATE_WRITE_RETRY_S
        ):
            self.write_state(self.quotas.records())
            self.publish_quotas()
        piles = self.forwarder.dispatcher.state.queues.by_destination
        if not self.heartbeats.wait_for_renewal and self.quotas.has_grown_demand(
            {d: len(pile) for d, pile in piles.items()}, now
        ):
            self.heartbeats.wake.set()
        self.log_changes(now)

    def unsent_demand(self) -> dict[int, Counter[str]]:
        """Messages held unsent, by destination and by whose demand they are."""
        return {
            destination: Counter(
                {demand_key(*demand): count for demand, count in counts.items()}
            )
            for destination, counts in self.forwarder.dispatcher.state.queues.count_by_demand().items()
        }

    # Beats

    async def send_heartbeat(self, client: HttpClient) -> None:
        """Join or renew: one call, and what its answer changes."""
        needs = self.quotas.needs(self.unsent_demand(), now_us())
        lease_request = self.holder.start_request(
            now_us()
        )  # the lease counts from before the request leaves
        if lease_request.token is None:
            extra_fields: dict[str, Any] = {}
            if (
                self.previous_token != ZERO_TOKEN
            ):  # what was had before, here or in the process before, is over
                extra_fields = {
                    "shown": self.previous_token.to_wire(),
                    "keeps": self.quotas.known_reserves(),
                }
        else:  # of the members that are known, only changes are told
            extra_fields = {
                "list": self.member_list,
                "holds": self.quotas.held_shares(lease_request.token)
                if self.quotas.persisted
                else {},
            }
        data = encode_heartbeat(
            self.config,
            self.advertised_address,
            self.run_id,
            lease_request,
            needs,
            extra_fields,
        )
        timeout_s = max(0.2, self.holder.ttl_us / 3e6)
        try:
            reader = await client.request("POST", "/v1/fleet/beat", timeout_s, data)
            if reader.status not in (200, 409):
                raise MalformedResponseError(
                    f"status {reader.status} {reader.body[:300].decode(errors='replace')}"
                )
            if reader.status == 409:
                self.on_refusal(
                    lease_request,
                    msgspec.json.decode(reader.body, type=HeartbeatRefusal),
                )
                return
            answer = msgspec.json.decode(reader.body, type=HeartbeatResponse)
            if answer.sent != lease_request.number:
                raise MalformedResponseError(
                    f"an answer to {answer.sent}, not to {lease_request.number}"
                )
            shares = {
                int(name): told
                for name, told in answer.shares.items()
                if DESTINATION_FORMAT.fullmatch(name)
            }
        except (
            OSError,
            TimeoutError,
            MalformedResponseError,
            ValueError,
            msgspec.MsgspecError,
        ) as error:
            self.holder.on_no_answer(now_us())
            self.on_unreachable(error)
            return
        await self.on_response(lease_request.number, answer, shares)

    async def on_response(
        self, sent_at: int, answer: HeartbeatResponse, shares: Mapping[int, BudgetShare]
    ) -> None:
        token = Token(*answer.token)
        joins = token != self.holder.token
        if not self.holder.on_granted(now_us(), sent_at, token, answer.ttl_ms * 1000):
            return
        if not self.heartbeats.reachable or joins:
            log.info(
                "member %s of the fleet under token %s, the service answers",
                self.config.name,
                token.to_wire(),
                extra={"token": token.to_wire(), "ttl_ms": answer.ttl_ms},
            )
        self.state, self.member_list, self.heartbeats.version = (
            "alive",
            answer.list,
            answer.version,
        )
        self.heartbeats.reachable, self.heartbeats.wait_for_renewal = True, False
        self.heartbeat_counts["beats"] += 1
        shrank = self.quotas.apply_shares(
            token,
            {d: msgspec.structs.asdict(s) for d, s in shares.items()},
            self.holder.valid_until_us,
            now_us(),
        )
        await self.persist_quotas()
        self.publish_quotas()
        self.heartbeats.heartbeat_answered.set()
        if shrank:
            # the service hands on what was given up once it hears that it binds
            self.heartbeats.wake.set()

    def on_refusal(
        self, lease_request: LeaseRequest, refusal: HeartbeatRefusal
    ) -> None:
        """Not now: what is had runs out as it would. Or lost."""
        now = now_us()
        self.heartbeats.reachable = self.heartbeats.wait_for_renewal = True
        if refusal.error != "lost" or lease_request.token is None:
            self.holder.on_unavailable(
                now, lease_request.number, min(refusal.retry_ms, MAX_RETRY_MS) * 1000
            )
            if self.state != "held":
                log.warning(
                    "the name %s is held for %d ms more, or not known to be free: %s",
                    self.config.name,
                    refusal.retry_ms,
                    "; ".join(refusal.faults),
                )
            self.state = "held" if self.holder.token is None else self.state
            return
        self.previous_token = (
            lease_request.token
        )  # not to get the name sooner, but so that its reserve is not counted twice
        self.holder.on_rejected(
            now,
            lease_request.number,
            ZERO_TOKEN if refusal.seen is None else Token(*refusal.seen),
        )
        self.on_lease_lost(now, "; ".join(refusal.faults))

    def on_lease_lost(self, now: int, reason: str) -> None:
        """The lease is over: whatever rests on it stops here, and the process joins as
        a new member.
        """
        self.heartbeat_counts["lost"] += 1
        self.state, self.member_list = "lost", None
        self.quotas.on_lease_lost(now)
        log.error(
            "the lease is lost, only reserves act: %s",
            reason,
            extra={"seen": self.holder.highest_seen.to_wire()},
        )
        self.publish_quotas()

    def on_unreachable(self, error: BaseException) -> None:
        now_s = time.monotonic()
        if (
            self.heartbeats.reachable
            or now_s - self.last_log_s >= REPEAT_LOG_INTERVAL_S
        ):
            self.last_log_s = now_s
            left_ms = max(0, self.holder.valid_until_us - now_us()) // 1000
            log.warning(
                "the list service does not answer, the lease is good for %d ms: %s",
                left_ms,
                str(error) or type(error).__name__,
            )
        self.heartbeats.reachable, self.heartbeats.wait_for_renewal = False, True

    # Figures

    def log_changes(self, now: int) -> None:
        for destination, figures in self.quotas.changes(now):
            log.info(
                "budget of destination %d: %d of %d calls in %d ms by %s for %d ms, reserve %d, used %d:"
                " %s",
                destination,
                figures["share"],
                figures["whole"],
                figures["span_ms"],
                figures["by"],
                figures["valid_for_ms"],
                figures["reserve"],
                figures["used"],
                figures["why"],
                extra={"destination": destination, **figures},
            )

    def metrics_report(self) -> dict[str, Any]:
        now, holder = now_us(), self.holder
        return {
            "name": self.config.name,
            "site": self.config.site,
            "state": self.state,
            "token": holder.token.to_wire() if holder.token is not None else None,
            "valid_for_ms": max(0, holder.valid_until_us - now) // 1000
            if holder.token
            else 0,
            "service": {
                "address": str(self.config.service),
                "answers": self.heartbeats.reachable,
            },
            "beats": self.heartbeat_counts["beats"],
            "lost": self.heartbeat_counts["lost"],
            "budgets": self.quotas.metrics(now),
        }


def demand_key(class_name: str, tenant: str | None) -> str:
    """Whose demand it is, in the words of a beat."""
    return f"{class_name}/{tenant}" if tenant else class_name
