"""Orders as frames and back: what two daemons say of a dispatch."""

from collections.abc import Callable

from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.model import release
from peridotpost.proxy import frames

MS_IN_S = 1000
SHARE_UNITS = 10_000


def dispatch_of(
    number: int, order: forwarding.Order, now: float
) -> frames.Dispatch:
    """Return the frame that sends an order; times go as what is left."""
    return frames.Dispatch(
        number,
        order.service,
        order.route,
        order.attempt_id,
        order.method,
        order.target,
        order.head,
        b'' if order.body_later else order.body,
        order.idempotent,
        order.last,
        order.rank,
        int((order.deadline - now) * MS_IN_S),
        int((order.objective - now) * MS_IN_S),
        int(order.repeat),
        round(order.inherited * 100),
        order.body_later,
    )


def order_of(
    told: frames.Dispatch,
    now: float,
    done: Callable[[forwarding.Outcome], None],
) -> forwarding.Order:
    """Return the order that a frame brings, by this process's clock."""
    return forwarding.Order(
        number=told.number,
        service=told.service,
        attempt_id=told.attempt_id,
        method=told.method,
        target=told.target,
        head=told.head,
        body=told.body,
        idempotent=told.idempotent,
        rank=told.rank,
        deadline=now + told.left_ms / MS_IN_S,
        objective=now + told.objective_ms / MS_IN_S,
        last=told.last,
        done=done,
        route=told.route,
        repeat=forwarding.Repeat(told.repeat),
        inherited=told.inherited / 100,
    )


def reply_of(
    number: int,
    outcome: forwarding.Outcome,
    load: int,
    run_s: float,
    failing: int,
) -> frames.Frame:
    """Return the frame that tells an outcome.

    :param load: of the guard, in hundredths of its slots.
    :param run_s: mean time of a run of the route there.
    :param failing: share of failures there, in hundredths.
    """
    run_ms = int(run_s * MS_IN_S)
    if isinstance(outcome, forwarding.TargetAnswer):
        return frames.Answered(
            number,
            outcome.status,
            outcome.reason,
            outcome.head,
            outcome.body,
            load,
            run_ms,
            failing,
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
        )
    return frames.LostFrame(number, outcome.detail, outcome.crashed)


def answer_of(told: frames.Answered) -> forwarding.TargetAnswer:
    """Return the target's answer that a frame brings."""
    return forwarding.TargetAnswer(
        told.status, told.reason, told.head, told.body
    )


def refusal_of(told: frames.RefusedFrame) -> forwarding.Refused:
    """Return the refusal that a frame brings."""
    return forwarding.Refused(
        forwarding.Refusal(told.reason),
        told.retry_after_ms / MS_IN_S,
        told.arrived,
    )


def status_of(
    status: instances.TargetStatus, load: int, failing: int
) -> frames.Status:
    """Return the frame that tells how a target stands."""
    return frames.Status(
        status.service,
        status.instance,
        status.slots,
        status.ready,
        load,
        failing,
        status.version,
    )


def update_of(state: release.ReleaseState) -> frames.ReleaseUpdate:
    """Return the frame that tells a coordinator's state."""
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
        state.focus,
        int(state.elapsed_s * MS_IN_S),
        state.coordinator,
        list(state.banned),
    )


def state_of(told: frames.ReleaseUpdate) -> release.ReleaseState:
    """Return the state that a frame tells."""
    order = release.ReleaseOrder(
        told.service,
        told.version,
        told.duration_ms / MS_IN_S,
        told.revision,
    )
    return release.ReleaseState(
        order,
        told.epoch,
        told.number,
        release.Stage(told.stage),
        told.share / SHARE_UNITS,
        told.focus,
        told.elapsed_ms / MS_IN_S,
        told.coordinator,
        tuple(told.banned),
    )


def report_frame(
    order: release.ReleaseOrder, report: release.TargetReport
) -> frames.ReleaseReport:
    """Return the frame that tells a coordinator of a target."""
    return frames.ReleaseReport(
        order.service,
        order.revision,
        report.version,
        report.drained,
        [
            frames.RouteCounts(route, one.runs, one.failed, one.by_time)
            for route, one in report.by_route.items()
        ],
    )


def report_of(host: str, told: frames.ReleaseReport) -> release.TargetReport:
    """Return the report that a frame of `host` brings."""
    return release.TargetReport(
        host,
        told.version,
        told.drained,
        {
            one.route: release.RouteRuns(one.runs, one.failed, one.by_time)
            for one in told.routes
        },
    )
