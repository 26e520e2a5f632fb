"""This forwarder as a member of the fleet.

It joins, sends heartbeats, watches for changes, and keeps its calls within what its
lease and its shares allow. It is imported only where the configuration has `fleet`; see
docs/parts/node.md.

Authority moves on one path only, the answer to a heartbeat. The watch only says when a
heartbeat is worth sending.
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
from enum import StrEnum
from http import HTTPStatus
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
from rainfall.forwarder.http1 import MalformedResponseError, ResponseReader
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection import OutboundCall
from rainfall.forwarder.units import US_PER_MS, US_PER_SECOND
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.holder import LeaseHolder, LeaseRequest

HEARTBEAT_PATH = "/v1/fleet/beat"
MAX_RETRY_MS = 60_000
"""A longer wait for the name is not believed: no lease is longer."""
MIN_RESPONSE_TIMEOUT_S = 0.2
"""The answer to a heartbeat is waited for at least so long."""
RESPONSE_TIMEOUTS_PER_LEASE = 3
"""So many waits for an answer, one after the other, take a lease's time, where each is
not shorter than MIN_RESPONSE_TIMEOUT_S.
"""
STATE_WRITE_RETRY_S = 1.0
"""After a failure the state file is written again so much later."""
REPEAT_LOG_INTERVAL_S = 10.0
"""Between two log lines that say that the service is unreachable."""
ERROR_BODY_BYTES = 300
"""Bytes of an unexpected answer that an error repeats."""
DESTINATION_FORMAT = re.compile("0|[1-9][0-9]{0,9}", re.ASCII)
"""A destination's number as a key of JSON."""
LOST_ERROR = "lost"
"""The service's word, as a refusal's `error`, for a lease that is over."""
HEARTBEATS_COUNT = "beats"
"""The metrics' name for how many heartbeats were granted."""
LOST_COUNT = "lost"
"""The metrics' name for how many leases were lost."""
log = logging.getLogger("rainfall.fleet")


class MemberState(StrEnum):
    """What the service last said of this member; the values stand in metrics."""

    JOINING = "joining"
    ALIVE = "alive"
    HELD = "held"
    """Its name is held by another process, or not known to be free."""
    LOST = "lost"
    """Its lease is over, and it joins anew."""


class ForwarderContext(Protocol):
    """What a member of a fleet needs of the forwarder that it is part of."""

    config: Config
    dispatcher: Dispatcher
    store: MessageStore

    @property
    def clock(self) -> Callable[[], int]:
        """The dispatcher's clock, in microseconds."""
        ...

    def post(self, event: Event) -> None:
        """Give the dispatcher an event in the next round."""
        ...


class FleetMember:
    """The member: its lease, its quotas and its heartbeats.

    The engine calls `start` before its first round, `pause` and `resume` around a
    handover, and `pause` at the end.
    """

    def __init__(self, config: FleetConfig, forwarder: ForwarderContext) -> None:
        self.config = config
        self.forwarder = forwarder
        self.advertised_address = str(config.listen or forwarder.config.listen)
        # Members that start together must not act in step.
        self.random = random.Random(secrets.randbits(64))
        self.run_id = secrets.token_hex(8)
        self.state_file = StateFile(forwarder.config.state, forwarder.config.power)
        self.previous_token, records = self.state_file.read()
        self.quotas = FleetQuotas(config.budgets, config.drift, records, now_us())
        self.holder = LeaseHolder(config.lease_us, config.drift, self.random.random)
        self.holder.highest_seen = self.previous_token
        self.heartbeats = HeartbeatScheduler(
            self.holder, self.random, self.send_heartbeat
        )
        self.state = MemberState.JOINING
        self.member_list: list[int] | None = None
        """Version of the list of members that is known."""
        self.heartbeat_counts: Counter[str] = Counter()
        self.permit_at_us = 0
        """When the last permit was asked for.

        One time is enough for all calls: the pool asks for a call's permit, writes its
        first byte and reports that in one step of the event loop, so no other call's
        permit can come in between.
        """
        self.last_write_s = 0.0
        self.last_log_s = -REPEAT_LOG_INTERVAL_S

    # From the start to the end

    def start(self) -> None:
        """Write the state file, tell the dispatcher, and begin with heartbeats."""
        # The counts are kept from here on, while few messages are held.
        self.forwarder.dispatcher.state.queues.count_by_demand()
        self.write_state(self.quotas.records())
        self.publish_quotas()
        self.heartbeats.start(self.config.service)

    def pause(self) -> None:
        """Send nothing from here on, and write what a successor needs.

        A lease that is not renewed expires, or is taken over by who shows its token.
        """
        self.heartbeats.stop()
        if self.quotas.persisted:
            self.write_state(self.quotas.close(now_us()))
            self.quotas.suspend()

    def resume(self) -> None:
        """Go on as before, as no successor came, wrote or sent anything."""
        self.quotas.reopen()
        self.holder.next_renewal_us = 0
        self.start()

    def write_state(self, records: QuotaRecords) -> None:
        """Write the state file, and wait for it."""
        encoded = self.state_file.encode(self._successor_token(), records)
        self.on_state_written(self.state_file.write(*encoded))

    async def persist_quotas(self) -> None:
        """Write the state file.

        What was granted must hold for a successor, too, before this process
        acknowledges it.
        """
        encoded = self.state_file.encode(self._successor_token(), self.quotas.records())
        if self.state_file.synced:
            # A sync takes its time, and clients wait.
            error = await asyncio.to_thread(self.state_file.write, *encoded)
        else:
            error = self.state_file.write(*encoded)
        self.on_state_written(error)

    def _successor_token(self) -> Token:
        return self.holder.token or self.previous_token

    def on_state_written(self, error: OSError | None) -> None:
        """Note whether the state file was written."""
        self.quotas.persisted = error is None
        self.last_write_s = time.monotonic()
        if error is not None:
            log.error(
                "what a successor needs cannot be kept, so no budget's call leaves: %s",
                error,
            )

    def reload(self, config: FleetConfig) -> None:
        """Apply a new configuration, between two rounds."""
        old = self.config
        self.config = config
        self.holder.ttl_us = config.lease_us
        for destination in self.quotas.configure(config.budgets, now_us()):
            self.forwarder.post(QuotaChanged(destination, 0, 0, 0, 0))
        self.write_state(self.quotas.records())
        self.publish_quotas()
        if config.service != old.service:
            self.heartbeats.stop()
            self.holder.next_renewal_us = 0
            self.heartbeats.start(self.config.service)

    # For the dispatcher and the pool

    def publish_quotas(self) -> None:
        """Tell the dispatcher of each quota, and log those that changed."""
        now = now_us()
        for destination in sorted(self.quotas.accounts):
            ahead_us = self.forwarder.clock() - now
            self.forwarder.post(self.quotas.quota_event(destination, now, ahead_us))
        self.log_changes(now)

    def acquire_permit(self, call: OutboundCall) -> int:
        """Ask for a permit right before a call's first byte.

        See `FleetQuotas.acquire_permit`.
        """
        self.permit_at_us = now_us()
        return self.quotas.acquire_permit(
            call.throttle_scope.destination, self.permit_at_us
        )

    def on_call_sent(self, call: OutboundCall) -> None:
        """Note that a call's first byte is sent."""
        self.quotas.on_call_sent(
            call.throttle_scope.destination, self.permit_at_us, now_us()
        )

    def record_demand(
        self, destination: int, class_name: str, tenant: str | None
    ) -> None:
        """Count a message that is to be sent to a destination."""
        self.quotas.record_demand(destination, demand_key(class_name, tenant), now_us())

    def tick(self) -> None:
        """Retry a failed write, report grown demand, and log changes.

        The engine calls it ten times a second.
        """
        now = now_us()
        if (
            not self.quotas.persisted
            and time.monotonic() - self.last_write_s >= STATE_WRITE_RETRY_S
        ):
            self.write_state(self.quotas.records())
            self.publish_quotas()
        queues = self.forwarder.dispatcher.state.queues.by_destination
        waiting = {destination: len(queue) for destination, queue in queues.items()}
        if not self.heartbeats.wait_for_renewal and self.quotas.has_grown_demand(
            waiting, now
        ):
            self.heartbeats.wake.set()
        self.log_changes(now)

    def unsent_demand(self) -> dict[int, Counter[str]]:
        """Return the messages held unsent, by destination and by whose demand it is."""
        queues = self.forwarder.dispatcher.state.queues
        return {
            destination: Counter(
                {demand_key(*demand): count for demand, count in counts.items()}
            )
            for destination, counts in queues.count_by_demand().items()
        }

    # Heartbeats

    async def send_heartbeat(self, client: HttpClient) -> None:
        """Join or renew with one request, and apply its answer."""
        needs = self.quotas.needs(self.unsent_demand(), now_us())
        # The lease counts from before the request is sent.
        lease_request = self.holder.start_request(now_us())
        data = encode_heartbeat(
            self.config,
            self.advertised_address,
            self.run_id,
            lease_request,
            needs,
            self._extra_fields(lease_request),
        )
        lease_s = self.holder.ttl_us / (RESPONSE_TIMEOUTS_PER_LEASE * US_PER_SECOND)
        timeout_s = max(MIN_RESPONSE_TIMEOUT_S, lease_s)
        try:
            response = await client.request("POST", HEARTBEAT_PATH, timeout_s, data)
            if response.status == HTTPStatus.CONFLICT:
                refusal = msgspec.json.decode(response.body, type=HeartbeatRefusal)
                self.on_refusal(lease_request, refusal)
                return
            answer = self._read_answer(response, lease_request)
            shares = {
                int(name): share
                for name, share in answer.shares.items()
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

    def _extra_fields(self, lease_request: LeaseRequest) -> dict[str, Any]:
        """Return what only a renewal or only a join says."""
        if lease_request.token is not None:
            # The service answers with changes to the list of members that is known.
            holds: dict[str, list[int]] = {}
            if self.quotas.persisted:
                holds = self.quotas.held_shares(lease_request.token)
            return {"list": self.member_list, "holds": holds}
        if self.previous_token == ZERO_TOKEN:
            return {}
        # An earlier lease, of this process or of the one before, is over.
        return {
            "shown": self.previous_token.to_wire(),
            "keeps": self.quotas.known_reserves(),
        }

    @staticmethod
    def _read_answer(
        response: ResponseReader, lease_request: LeaseRequest
    ) -> HeartbeatResponse:
        if response.status != HTTPStatus.OK:
            body = response.body[:ERROR_BODY_BYTES].decode(errors="replace")
            raise MalformedResponseError(f"status {response.status} {body}")
        answer = msgspec.json.decode(response.body, type=HeartbeatResponse)
        if answer.sent != lease_request.number:
            raise MalformedResponseError(
                f"an answer to {answer.sent}, not to {lease_request.number}"
            )
        return answer

    async def on_response(
        self, sent_at: int, answer: HeartbeatResponse, shares: Mapping[int, BudgetShare]
    ) -> None:
        """Apply a granted heartbeat, unless it comes too late to count.

        Args:
            sent_at: The number of the request.
            answer: Its answer.
            shares: The answer's shares by destination.
        """
        token = Token(*answer.token)
        joins = token != self.holder.token
        if not self.holder.on_granted(
            now_us(), sent_at, token, answer.ttl_ms * US_PER_MS
        ):
            return
        if not self.heartbeats.reachable or joins:
            log.info(
                "member %s of the fleet under token %s, the service answers",
                self.config.name,
                token.to_wire(),
                extra={"token": token.to_wire(), "ttl_ms": answer.ttl_ms},
            )
        self.state = MemberState.ALIVE
        self.member_list = answer.list
        self.heartbeats.version = answer.version
        self.heartbeats.reachable = True
        self.heartbeats.wait_for_renewal = False
        self.heartbeat_counts[HEARTBEATS_COUNT] += 1
        shrank = self.quotas.apply_shares(
            token,
            {
                destination: msgspec.structs.asdict(share)
                for destination, share in shares.items()
            },
            self.holder.valid_until_us,
            now_us(),
        )
        await self.persist_quotas()
        self.publish_quotas()
        self.heartbeats.heartbeat_answered.set()
        if shrank:
            # The service grants the difference to others once it hears that it holds.
            self.heartbeats.wake.set()

    def on_refusal(
        self, lease_request: LeaseRequest, refusal: HeartbeatRefusal
    ) -> None:
        """Wait for the name, or join anew if the lease is lost."""
        now = now_us()
        self.heartbeats.reachable = True
        self.heartbeats.wait_for_renewal = True
        if refusal.error != LOST_ERROR or lease_request.token is None:
            self._wait_after_refusal(now, lease_request, refusal)
            return
        # The former token is not shown to get the name sooner, but so that its reserve
        # is not counted twice.
        self.previous_token = lease_request.token
        self.holder.on_rejected(
            now,
            lease_request.number,
            ZERO_TOKEN if refusal.seen is None else Token(*refusal.seen),
        )
        self.on_lease_lost(now, "; ".join(refusal.faults))

    def _wait_after_refusal(
        self, now: int, lease_request: LeaseRequest, refusal: HeartbeatRefusal
    ) -> None:
        """Come again later, whatever the service refused for.

        A lease that this member holds expires as it would.
        """
        retry_us = min(refusal.retry_ms, MAX_RETRY_MS) * US_PER_MS
        self.holder.on_unavailable(now, lease_request.number, retry_us)
        if self.state != MemberState.HELD:
            log.warning(
                "the name %s is held for %d ms more, or not known to be free: %s",
                self.config.name,
                refusal.retry_ms,
                "; ".join(refusal.faults),
            )
        if self.holder.token is None:
            self.state = MemberState.HELD

    def on_lease_lost(self, now: int, reason: str) -> None:
        """Go back to the reserves and join as a new member: the service ended the lease.

        A lease that expires without an answer has no event; `MemberQuota.limit` goes by
        the time.
        """
        self.heartbeat_counts[LOST_COUNT] += 1
        self.state = MemberState.LOST
        self.member_list = None
        self.quotas.on_lease_lost(now)
        log.error(
            "the lease is lost, only reserves act: %s",
            reason,
            extra={"seen": self.holder.highest_seen.to_wire()},
        )
        self.publish_quotas()

    def on_unreachable(self, error: BaseException) -> None:
        """Note that a heartbeat had no valid answer."""
        now_s = time.monotonic()
        if (
            self.heartbeats.reachable
            or now_s - self.last_log_s >= REPEAT_LOG_INTERVAL_S
        ):
            self.last_log_s = now_s
            left_ms = max(0, self.holder.valid_until_us - now_us()) // US_PER_MS
            log.warning(
                "the list service does not answer, the lease is good for %d ms: %s",
                left_ms,
                str(error) or type(error).__name__,
            )
        self.heartbeats.reachable = False
        self.heartbeats.wait_for_renewal = True

    # Metrics

    def log_changes(self, now: int) -> None:
        """Log each quota that changed since the last time."""
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
        """Return the metrics of the member and of its quotas."""
        now = now_us()
        token = self.holder.token
        remaining_ms = max(0, self.holder.valid_until_us - now) // US_PER_MS
        return {
            "name": self.config.name,
            "site": self.config.site,
            "state": self.state.value,
            "token": token.to_wire() if token is not None else None,
            "valid_for_ms": remaining_ms if token else 0,
            "service": {
                "address": str(self.config.service),
                "answers": self.heartbeats.reachable,
            },
            HEARTBEATS_COUNT: self.heartbeat_counts[HEARTBEATS_COUNT],
            LOST_COUNT: self.heartbeat_counts[LOST_COUNT],
            "budgets": self.quotas.metrics(now),
        }


def demand_key(class_name: str, tenant: str | None) -> str:
    """Return whose demand it is, in the words of a heartbeat."""
    return f"{class_name}/{tenant}" if tenant else class_name
