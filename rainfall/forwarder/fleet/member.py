"""This forwarder as a member of the fleet.

A member joins the fleet at the list service, renews its lease by heartbeats, and limits
its calls to what its lease and its shares allow. The module is imported only where the
configuration has `fleet`; see docs/parts/node.md.

Only the answer to a heartbeat changes the lease or the shares. The watch for changes
merely triggers heartbeats.
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
"""Limit of the delay in a refusal (`retry_ms`): no lease is longer than this."""
MIN_RESPONSE_TIMEOUT_S = 0.2
"""Lower limit of a heartbeat's timeout."""
RESPONSE_TIMEOUTS_PER_LEASE = 3
"""A heartbeat's timeout is a lease's length divided by this, or MIN_RESPONSE_TIMEOUT_S
if that is longer.
"""
STATE_WRITE_RETRY_S = 1.0
"""Minimum time from a failed write of the state file to the next attempt."""
REPEAT_LOG_INTERVAL_S = 10.0
"""Interval of the log lines while the service is unreachable."""
ERROR_BODY_BYTES = 300
"""Bytes of an unexpected response's body that its error quotes."""
DESTINATION_FORMAT = re.compile("0|[1-9][0-9]{0,9}", re.ASCII)
"""A destination's number as a JSON key."""
LOST_ERROR = "lost"
"""The `error` of a refusal that means that the lease has ended."""
HEARTBEATS_METRIC = "beats"
"""Metric: the number of heartbeats granted."""
LOST_METRIC = "lost"
"""Metric: the number of leases lost."""
log = logging.getLogger("rainfall.fleet")


class MemberState(StrEnum):
    """This member's state by the service's last answer; the values appear in metrics."""

    JOINING = "joining"
    """No heartbeat has been answered yet."""
    ALIVE = "alive"
    """It has a lease."""
    HELD = "held"
    """Another process holds its name, or the name is not known to be free."""
    LOST = "lost"
    """Its lease was lost, and it joins again."""


class ForwarderContext(Protocol):
    """The parts of a forwarder that its fleet member uses."""

    config: Config
    dispatcher: Dispatcher
    store: MessageStore

    @property
    def clock(self) -> Callable[[], int]:
        """The dispatcher's clock, in microseconds."""
        ...

    def post(self, event: Event) -> None:
        """Queue an event for the dispatcher's next round."""
        ...


class FleetMember:
    """The membership of this forwarder: its lease, its quotas and its heartbeats.

    The engine calls `start` before its first round, `pause` before a handover or its
    own end, and `resume` after a handover that failed.
    """

    def __init__(self, config: FleetConfig, forwarder: ForwarderContext) -> None:
        self.config = config
        self.forwarder = forwarder
        self.advertised_address = str(config.listen or forwarder.config.listen)
        # Members that start at the same time must not send heartbeats in step.
        self.random = random.Random(secrets.randbits(64))
        self.run_id = secrets.token_hex(8)
        """Lets the service recognize a join that this process repeats."""
        self.state_file = StateFile(forwarder.config.state, forwarder.config.power)
        self.previous_token, records = self.state_file.read()
        """Token of an earlier lease: the previous process's, or the last one lost here.

        ZERO_TOKEN if there is none.
        """
        self.quotas = FleetQuotas(config.budgets, config.drift, records, now_us())
        self.holder = LeaseHolder(config.lease_us, config.drift, self.random.random)
        self.holder.highest_seen = self.previous_token
        self.heartbeats = HeartbeatScheduler(
            self.holder, self.random, self.send_heartbeat
        )
        self.state = MemberState.JOINING
        self.member_list: list[int] | None = None
        """Epoch and version of the member list in the last answer."""
        self.heartbeat_counts: Counter[str] = Counter()
        """Values of HEARTBEATS_METRIC and LOST_METRIC."""
        self.last_permit_us = 0
        """When the last permit was requested.

        One time is enough for all calls: the pool requests a call's permit, writes its
        first byte and reports that in one step of the event loop, so no other call's
        permit can come in between.
        """
        self.last_state_write_s = 0.0
        self.last_unreachable_log_s = -REPEAT_LOG_INTERVAL_S

    # Lifecycle

    def start(self) -> None:
        """Write the state file, publish the quotas, and start the heartbeats."""
        # The first call counts all waiting messages, so it is made while there are few.
        self.forwarder.dispatcher.state.queues.count_by_demand()
        self.write_state(self.quotas.records())
        self.publish_quotas()
        self.heartbeats.start(self.config.service)

    def pause(self) -> None:
        """Stop heartbeats and calls, and write the final state file for a successor.

        The lease is not released: it expires, or a successor that presents its token
        takes it over.
        """
        self.heartbeats.stop()
        if self.quotas.persisted:
            self.write_state(self.quotas.close(now_us()))
            self.quotas.suspend()

    def resume(self) -> None:
        """Resume after a pause; no successor may have written or sent anything."""
        self.quotas.reopen()
        self.holder.next_renewal_us = 0
        self.start()

    def write_state(self, records: QuotaRecords) -> None:
        """Write the state file; blocks until it is written."""
        encoded = self.state_file.encode(self._successor_token(), records)
        self.on_state_written(self.state_file.write(*encoded))

    async def persist_quotas(self) -> None:
        """Write the state file without blocking the event loop on a sync.

        A share must be on disk before this process acknowledges it to the service, so
        that a successor keeps to the share as well.
        """
        encoded = self.state_file.encode(self._successor_token(), self.quotas.records())
        if self.state_file.synced:
            # A sync is slow, and would delay all clients.
            error = await asyncio.to_thread(self.state_file.write, *encoded)
        else:
            error = self.state_file.write(*encoded)
        self.on_state_written(error)

    def _successor_token(self) -> Token:
        """Return the token that a successor presents when it joins."""
        return self.holder.token or self.previous_token

    def on_state_written(self, error: OSError | None) -> None:
        """Record whether the state file was written; if not, budgets grant no permit."""
        self.quotas.persisted = error is None
        self.last_state_write_s = time.monotonic()
        if error is not None:
            log.error(
                "cannot write %s, so no call is sent to a destination with a budget: %s",
                self.state_file.path,
                error,
            )

    def reload(self, config: FleetConfig) -> None:
        """Apply a new configuration; called between two rounds of the engine."""
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

    # For the dispatcher and the connection pool

    def publish_quotas(self) -> None:
        """Send each quota to the dispatcher, and log those that changed."""
        now = now_us()
        for destination in sorted(self.quotas.accounts):
            clock_offset_us = self.forwarder.clock() - now
            self.forwarder.post(
                self.quotas.quota_event(destination, now, clock_offset_us)
            )
        self.log_changes(now)

    def acquire_permit(self, call: OutboundCall) -> int:
        """Request a permit for a call, right before its first byte is written.

        Returns:
            As `FleetQuotas.acquire_permit`.
        """
        self.last_permit_us = now_us()
        return self.quotas.acquire_permit(
            call.throttle_scope.destination, self.last_permit_us
        )

    def on_call_sent(self, call: OutboundCall) -> None:
        """Record that a call's first byte was written; see `acquire_permit`."""
        self.quotas.on_call_sent(
            call.throttle_scope.destination, self.last_permit_us, now_us()
        )

    def record_demand(
        self, destination: int, class_name: str, tenant: str | None
    ) -> None:
        """Count a message that has to be sent to a destination."""
        self.quotas.record_demand(destination, demand_key(class_name, tenant), now_us())

    def tick(self) -> None:
        """Do periodic work; the engine calls it ten times a second.

        Retries a failed write of the state file, requests a heartbeat if demand has
        grown much, and logs the quotas that changed.
        """
        now = now_us()
        if (
            not self.quotas.persisted
            and time.monotonic() - self.last_state_write_s >= STATE_WRITE_RETRY_S
        ):
            self.write_state(self.quotas.records())
            self.publish_quotas()
        queues = self.forwarder.dispatcher.state.queues.by_destination
        waiting = {destination: len(queue) for destination, queue in queues.items()}
        if not self.heartbeats.renewals_only and self.quotas.has_grown_demand(
            waiting, now
        ):
            self.heartbeats.heartbeat_requested.set()
        self.log_changes(now)

    def unsent_demand(self) -> dict[int, Counter[str]]:
        """Return the number of unsent messages, by destination and `demand_key`."""
        queues = self.forwarder.dispatcher.state.queues
        return {
            destination: Counter(
                {demand_key(*demand): count for demand, count in counts.items()}
            )
            for destination, counts in queues.count_by_demand().items()
        }

    # Heartbeats

    async def send_heartbeat(self, client: HttpClient) -> None:
        """Send one heartbeat, which joins or renews, and apply its answer."""
        needs = self.quotas.needs(self.unsent_demand(), now_us())
        # The lease's validity counts from before the request is sent.
        lease_request = self.holder.start_request(now_us())
        data = encode_heartbeat(
            self.config,
            self.advertised_address,
            self.run_id,
            lease_request,
            needs,
            self._extra_fields(lease_request),
        )
        lease_part_s = self.holder.ttl_us / (
            RESPONSE_TIMEOUTS_PER_LEASE * US_PER_SECOND
        )
        timeout_s = max(MIN_RESPONSE_TIMEOUT_S, lease_part_s)
        try:
            response = await client.request("POST", HEARTBEAT_PATH, timeout_s, data)
            if response.status == HTTPStatus.CONFLICT:
                refusal = msgspec.json.decode(response.body, type=HeartbeatRefusal)
                self.on_refusal(lease_request, refusal)
                return
            answer = self._decode_answer(response, lease_request)
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
        """Return the heartbeat's fields that only a renewal or only a join has."""
        if lease_request.token is not None:
            # `list` is the epoch and version of the last member list received: the
            # service answers with the changes since. `holds` acknowledges the shares that
            # are on disk.
            holds: dict[str, list[int]] = {}
            if self.quotas.persisted:
                holds = self.quotas.held_shares(lease_request.token)
            return {"list": self.member_list, "holds": holds}
        if self.previous_token == ZERO_TOKEN:
            return {}
        # This join follows an earlier lease, of this process or of the previous one.
        return {
            "shown": self.previous_token.to_wire(),
            "keeps": self.quotas.known_reserves(),
        }

    @staticmethod
    def _decode_answer(
        response: ResponseReader, lease_request: LeaseRequest
    ) -> HeartbeatResponse:
        """Decode a granted heartbeat.

        Raises:
            MalformedResponseError: The status is not 200, or the answer is to another
                request.
            msgspec.MsgspecError: The body is invalid.
        """
        if response.status != HTTPStatus.OK:
            body = response.body[:ERROR_BODY_BYTES].decode(errors="replace")
            raise MalformedResponseError(f"status {response.status} {body}")
        answer = msgspec.json.decode(response.body, type=HeartbeatResponse)
        if answer.sent != lease_request.number:
            raise MalformedResponseError(
                f"answer to heartbeat {answer.sent}, expected {lease_request.number}"
            )
        return answer

    async def on_response(
        self,
        request_number: int,
        answer: HeartbeatResponse,
        shares: Mapping[int, BudgetShare],
    ) -> None:
        """Apply a granted heartbeat, unless its answer is too late to be valid.

        Args:
            request_number: The number of the request.
            answer: The answer.
            shares: The answer's shares by destination.
        """
        token = Token(*answer.token)
        is_new_lease = token != self.holder.token
        if not self.holder.on_granted(
            now_us(), request_number, token, answer.ttl_ms * US_PER_MS
        ):
            return
        if not self.heartbeats.reachable or is_new_lease:
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
        self.heartbeats.renewals_only = False
        self.heartbeat_counts[HEARTBEATS_METRIC] += 1
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
            # The service grants the freed calls to other members only once this member
            # has acknowledged the smaller share.
            self.heartbeats.heartbeat_requested.set()

    def on_refusal(
        self, lease_request: LeaseRequest, refusal: HeartbeatRefusal
    ) -> None:
        """Handle a refused heartbeat: join again if the lease is lost, else wait."""
        now = now_us()
        self.heartbeats.reachable = True
        self.heartbeats.renewals_only = True
        if refusal.error != LOST_ERROR or lease_request.token is None:
            self._wait_after_refusal(now, lease_request, refusal)
            return
        # The next join presents the lost token, so that the service does not count its
        # reserve twice. The name does not become available sooner.
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
        """Schedule the next heartbeat after the refusal's delay.

        A lease that this member holds keeps its expiry.
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
        """Limit all quotas to their reserves, as the service has ended the lease.

        The next heartbeat joins as a new member. A lease that expires while the service
        does not answer needs no handling: `MemberQuota.limit` compares the time.
        """
        self.heartbeat_counts[LOST_METRIC] += 1
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
        """Record that a heartbeat had no valid answer; the log is rate-limited."""
        now_s = time.monotonic()
        if (
            self.heartbeats.reachable
            or now_s - self.last_unreachable_log_s >= REPEAT_LOG_INTERVAL_S
        ):
            self.last_unreachable_log_s = now_s
            left_ms = max(0, self.holder.valid_until_us - now_us()) // US_PER_MS
            log.warning(
                "the list service does not answer, the lease is good for %d ms: %s",
                left_ms,
                str(error) or type(error).__name__,
            )
        self.heartbeats.reachable = False
        self.heartbeats.renewals_only = True

    # Metrics

    def log_changes(self, now: int) -> None:
        """Log each quota that changed since the last call."""
        for destination, metrics in self.quotas.take_changed_metrics(now):
            log.info(
                "budget of destination %d: %d of %d calls in %d ms by %s for %d ms, reserve %d, used %d:"
                " %s",
                destination,
                metrics["share"],
                metrics["whole"],
                metrics["span_ms"],
                metrics["by"],
                metrics["valid_for_ms"],
                metrics["reserve"],
                metrics["used"],
                metrics["why"],
                extra={"destination": destination, **metrics},
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
            HEARTBEATS_METRIC: self.heartbeat_counts[HEARTBEATS_METRIC],
            LOST_METRIC: self.heartbeat_counts[LOST_METRIC],
            "budgets": self.quotas.metrics(now),
        }


def demand_key(class_name: str, tenant: str | None) -> str:
    """Return the key under which heartbeats report a message in the demand.

    The key is "CLASS/TENANT", or "CLASS" for a message without a tenant.
    """
    return f"{class_name}/{tenant}" if tenant else class_name
