"""Conversion of orders, outcomes and release states to and from frames."""

from collections.abc import Callable

from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.model import release
from peridotpost.proxy import frames

MS_IN_S = 1000
PROOFS = {proof.value: proof for proof in forwarding.Proof}
SHARE_UNITS = 10_000
"""Units of a whole in the share of a ``ReleaseUpdate``."""


def hello_frame(record: instances.HostRecord, version: int) -> frames.Hello:
    """Return the frame that introduces a daemon.

    :param version: its configuration version.
    """
    return frames.Hello(
        record.host,
        record.availability_zone,
        record.address,
        record.port,
        record.incarnation,
        version,
    )


def record_from_hello(hello: frames.Hello) -> instances.HostRecord:
    """Return the record of the daemon that a frame introduces."""
    return instances.HostRecord(
        hello.host,
        hello.availability_zone,
        hello.address,
        hello.port,
        hello.incarnation,
    )


def statement_frame(
    stated: instances.TargetStatement | None,
) -> frames.Statement | None:
    """Return the encoded part of a frame for a target's statement."""
    if stated is None:
        return None
    return frames.Statement(
        stated.instance,
        stated.started_ms,
        stated.leaving,
        stated.limit_per_s,
    )


def statement_from_frame(
    stated: frames.Statement | None,
) -> instances.TargetStatement | None:
    """Return a target's statement in a frame."""
    if stated is None:
        return None
    return instances.TargetStatement(
        stated.instance,
        stated.started_ms,
        stated.leaving,
        stated.limit_per_s,
    )


def dispatch_frame(
    number: int, order: forwarding.Order, now: float
) -> frames.Dispatch:
    """Return the frame for an order, with deadlines as remaining time."""
    return frames.Dispatch(
        number,
        order.service,
        order.route,
        order.attempt_id,
        order.method,
        order.target,
        order.head,
        b'' if order.body_deferred else bytes(order.body),
        order.idempotent,
        order.last,
        order.rank,
        int((order.deadline - now) * MS_IN_S),
        int((order.objective - now) * MS_IN_S),
        int(order.retry_cause),
        round(order.inherited_retry_weight * 100),
        order.body_deferred,
        order.customer,
        len(order.body) if order.body_deferred else 0,
    )


def order_from_frame(
    frame: frames.Dispatch,
    now: float,
    done: Callable[[forwarding.Outcome], None],
) -> forwarding.Order:
    """Return the order in a frame, with deadlines by this process's clock."""
    return forwarding.Order(
        number=frame.number,
        service=frame.service,
        attempt_id=frame.attempt_id,
        method=frame.method,
        target=frame.target,
        head=frame.head,
        body=frame.body,
        idempotent=frame.idempotent,
        rank=frame.rank,
        deadline=now + frame.remaining_ms / MS_IN_S,
        objective=now + frame.objective_ms / MS_IN_S,
        last=frame.last,
        done=done,
        route=frame.route,
        retry_cause=forwarding.RetryCause(frame.retry_cause),
        inherited_retry_weight=frame.inherited_retry_percent / 100,
        customer=frame.customer,
    )


def outcome_frame(
    number: int,
    outcome: forwarding.Outcome,
    load: int,
    run_s: float,
    failing: int,
    stated: instances.TargetStatement | None = None,
    body_deferred: bool = False,
) -> frames.Frame:
    """Return the frame for an outcome.

    :param load: load of the guard, in hundredths of its slots.
    :param run_s: mean run time of the route on this target.
    :param failing: share of failed requests there, in hundredths.
    :param stated: what the target stated and is in force.
    :param body_deferred: whether the body of a response is left out.
    """
    run_ms = int(run_s * MS_IN_S)
    if isinstance(outcome, forwarding.TargetAnswer):
        return frames.Answered(
            number,
            outcome.status,
            outcome.reason,
            outcome.head,
            b'' if body_deferred else bytes(outcome.body),
            load,
            run_ms,
            failing,
            statement_frame(stated),
            len(outcome.body) if body_deferred else 0,
        )
    if isinstance(outcome, forwarding.Refused):
        return frames.RefusedFrame(
            number,
            outcome.reason.value,
            int(outcome.retry_after_s * MS_IN_S),
            outcome.arrived,
            load,
            run_ms,
            failing,
            statement_frame(stated),
            outcome.proof.value,
        )
    return frames.LostFrame(number, outcome.detail, outcome.crashed)


def answer_from_frame(
    frame: frames.Answered, body: forwarding.Body
) -> forwarding.TargetAnswer:
    """Return the target's response in a frame, with its body."""
    return forwarding.TargetAnswer(
        frame.status, frame.reason, frame.head, body
    )


def refusal_from_frame(
    frame: frames.RefusedFrame,
) -> forwarding.Refused | forwarding.ResponseLost:
    """Return the refusal in a frame.

    A target's rejection whose proof is not stated, as by older daemons, does
    not show that the request has not run.
    """
    proof = PROOFS.get(frame.proof)
    if proof is None:
        if frame.arrived:
            return forwarding.ResponseLost('rejection without a proof')
        proof = forwarding.Proof.UNSENT
    return forwarding.Refused(
        forwarding.Refusal(frame.reason),
        frame.retry_after_ms / MS_IN_S,
        frame.arrived,
        proof,
    )


def status_frame(
    status: instances.TargetStatus, load: int, failing: int
) -> frames.Status:
    """Return the frame for a target's status."""
    return frames.Status(
        status.service,
        status.instance,
        status.slots,
        status.ready,
        load,
        failing,
        status.version,
        statement_frame(status.stated),
    )


def release_update_frame(state: release.ReleaseState) -> frames.ReleaseUpdate:
    """Return the frame for a release coordinator's state."""
    order = state.order
    return frames.ReleaseUpdate(
        order.service,
        order.version,
        order.revision,
        int(order.duration_s * MS_IN_S),
        state.epoch,
        state.number,
        int(state.stage),
        round(state.share * SHARE_UNITS),
        state.canary_host,
        int(state.elapsed_s * MS_IN_S),
        state.coordinator,
        list(state.rejected_versions),
    )


def release_state_from_frame(
    frame: frames.ReleaseUpdate,
) -> release.ReleaseState:
    """Return the release coordinator's state in a frame."""
    order = release.ReleaseOrder(
        frame.service,
        frame.version,
        frame.duration_ms / MS_IN_S,
        frame.revision,
    )
    return release.ReleaseState(
        order,
        frame.epoch,
        frame.number,
        release.Stage(frame.stage),
        frame.share / SHARE_UNITS,
        frame.canary_host,
        frame.elapsed_ms / MS_IN_S,
        frame.coordinator,
        tuple(frame.rejected_versions),
    )


def release_report_frame(
    order: release.ReleaseOrder, report: release.TargetReport
) -> frames.ReleaseReport:
    """Return the frame for a target's report to the coordinator."""
    return frames.ReleaseReport(
        order.service,
        order.revision,
        report.version,
        report.drained,
        [
            frames.RouteCounts(
                route, counts.runs, counts.failed, counts.by_run_time
            )
            for route, counts in report.by_route.items()
        ],
    )


def target_report_from_frame(
    host: str, frame: frames.ReleaseReport
) -> release.TargetReport:
    """Return the report in a frame that `host` sent."""
    return release.TargetReport(
        host,
        frame.version,
        frame.drained,
        {
            counts.route: release.RouteRunCounts(
                counts.runs, counts.failed, counts.by_run_time
            )
            for counts in frame.routes
        },
    )
