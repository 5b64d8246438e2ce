"""Result of a load run, its output as JSON and text, and comparison."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from peridotpost.load import histogram

QUANTILES = (0.5, 0.9, 0.99, 0.999)
NAME_WIDTH = 34


@dataclasses.dataclass(slots=True)
class Result:
    """Outcomes of one run, as its callers saw them.

    :param outcomes: latencies by HTTP status and outcome header.
    :param runs_checked: whether the counts below were compared with those
        of the targets.
    :param doubled_runs: keys that targets ran more than once.
    :param false_not_run: keys that ran although the answer said that they
        had not.
    :param answered_unrun: keys that were answered but that none of the
        given targets ran.
    """

    plan: dict[str, Any]
    sent: int = 0
    seconds: float = 0.0
    connections_opened: int = 0
    outcomes: dict[str, histogram.Histogram] = dataclasses.field(
        default_factory=dict
    )
    runs_checked: bool = False
    doubled_runs: int = 0
    false_not_run: int = 0
    answered_unrun: int = 0

    def record(self, outcome: str, seconds: float) -> None:
        latencies = self.outcomes.setdefault(outcome, histogram.Histogram())
        latencies.add(seconds)

    def to_json(self) -> dict[str, Any]:
        """Return data for JSON, with times in milliseconds."""
        total = histogram.Histogram()
        for latencies in self.outcomes.values():
            total.merge(latencies)
        document: dict[str, Any] = {
            'plan': self.plan,
            'sent': self.sent,
            'seconds': round(self.seconds, 3),
            'connections_opened': self.connections_opened,
            'all': _latencies(total),
            'outcomes': {
                name: _latencies(latencies)
                for name, latencies in sorted(self.outcomes.items())
            },
        }
        if self.runs_checked:
            document['runs'] = {
                'doubled_runs': self.doubled_runs,
                'false_not_run': self.false_not_run,
                'answered_unrun': self.answered_unrun,
            }
        return document


def _latencies(latencies: histogram.Histogram) -> dict[str, float]:
    summary: dict[str, float] = {'count': latencies.count}
    for share in QUANTILES:
        name = f'p{share * 100:g}_ms'
        summary[name] = round(latencies.quantile(share) * 1000, 3)
    summary['highest_ms'] = round(latencies.highest_s * 1000, 3)
    return summary


def flatten(document: dict[str, Any]) -> dict[str, float]:
    """Flatten a JSON result into values by name, without the plan."""
    flat: dict[str, float] = {}
    for name, value in document.items():
        if name == 'plan':
            continue
        if isinstance(value, dict):
            for inner, figure in flatten(value).items():
                flat[f'{name}: {inner}'] = figure
        else:
            flat[name] = value
    return flat


def format_result(document: dict[str, Any]) -> str:
    """Format a result as lines of text."""
    return '\n'.join(
        f'{name:<{NAME_WIDTH}} {value:>12g}'
        for name, value in flatten(document).items()
    )


def compare(first: dict[str, Any], second: dict[str, Any]) -> str:
    """Format two results side by side, with the ratio of each value."""
    left, right = flatten(first), flatten(second)
    lines = [f'{"":<{NAME_WIDTH}} {"first":>12} {"second":>12} {"ratio":>8}']
    for name in _unique_names(left, right):
        a, b = left.get(name), right.get(name)
        ratio = f'{b / a:>8.3f}' if a and b is not None else f'{"-":>8}'
        lines.append(f'{name:<{NAME_WIDTH}} {_cell(a)} {_cell(b)} {ratio}')
    return '\n'.join(lines)


def _cell(value: float | None) -> str:
    return f'{"-":>12}' if value is None else f'{value:>12g}'


def _unique_names(*groups: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(name for group in groups for name in group))
