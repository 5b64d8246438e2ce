"""A run's result: as data, as JSON, as text, and beside another."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from peridotpost.load import histogram

QUANTILES = (0.5, 0.9, 0.99, 0.999)
COLUMN = 34


@dataclasses.dataclass(slots=True)
class Result:
    """What the callers of one run received.

    :param outcomes: by status and the system's own word on the outcome.
    :param doubled_runs: keys that targets ran more than once.
    :param false_not_run: keys that ran though their caller was told not.
    :param answered_unrun: keys answered that no asked target ran.
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

    def note(self, outcome: str, seconds: float) -> None:
        found = self.outcomes.setdefault(outcome, histogram.Histogram())
        found.add(seconds)

    def to_json(self) -> dict[str, Any]:
        """Return plain data; times in milliseconds."""
        whole = histogram.Histogram()
        for one in self.outcomes.values():
            whole.merge(one)
        shown: dict[str, Any] = {
            'plan': self.plan,
            'sent': self.sent,
            'seconds': round(self.seconds, 3),
            'connections_opened': self.connections_opened,
            'all': _latencies(whole),
            'outcomes': {
                name: _latencies(one)
                for name, one in sorted(self.outcomes.items())
            },
        }
        if self.runs_checked:
            shown['runs'] = {
                'doubled_runs': self.doubled_runs,
                'false_not_run': self.false_not_run,
                'answered_unrun': self.answered_unrun,
            }
        return shown


def _latencies(one: histogram.Histogram) -> dict[str, float]:
    shown: dict[str, float] = {'count': one.count}
    for share in QUANTILES:
        name = f'p{share * 100:g}_ms'
        shown[name] = round(one.quantile(share) * 1000, 3)
    shown['highest_ms'] = round(one.highest_s * 1000, 3)
    return shown


def rows(shown: dict[str, Any]) -> dict[str, float]:
    """Flatten a JSON result into named figures, leaving out its plan."""
    flat: dict[str, float] = {}
    for name, value in shown.items():
        if name == 'plan':
            continue
        if isinstance(value, dict):
            for inner, figure in rows(value).items():
                flat[f'{name}: {inner}'] = figure
        else:
            flat[name] = value
    return flat


def show(shown: dict[str, Any]) -> str:
    """Return a result as lines of text."""
    return '\n'.join(
        f'{name:<{COLUMN}} {value:>12g}' for name, value in rows(shown).items()
    )


def compare(first: dict[str, Any], second: dict[str, Any]) -> str:
    """Return two results side by side, with the ratio of each figure."""
    left, right = rows(first), rows(second)
    lines = [f'{"":<{COLUMN}} {"first":>12} {"second":>12} {"ratio":>8}']
    for name in _ordered(left, right):
        a, b = left.get(name), right.get(name)
        ratio = f'{b / a:>8.3f}' if a and b is not None else f'{"-":>8}'
        lines.append(f'{name:<{COLUMN}} {_cell(a)} {_cell(b)} {ratio}')
    return '\n'.join(lines)


def _cell(value: float | None) -> str:
    return f'{"-":>12}' if value is None else f'{value:>12g}'


def _ordered(*groups: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(name for group in groups for name in group))
