"""Request counters and latency histograms by organisation and job kind.

Latencies are recorded in microseconds, up to ten minutes, with two
significant digits. Histograms of several nodes can be merged.
"""

import collections
import enum

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class Series(enum.Enum):
    """What a histogram measures."""

    TOTAL = 'radishcourse_request_seconds'
    FIRST_BYTE = 'radishcourse_first_byte_seconds'


class Metrics:
    """Records metrics and renders them for Prometheus."""

    def __init__(self):
        self._histograms: dict[tuple, histogram.HdrHistogram] = {}
        self._counters: collections.Counter[tuple] = collections.Counter()
        self._named: collections.Counter[tuple] = collections.Counter()
        self._overload: collections.Counter[tuple] = collections.Counter()

    def record(
        self, series: Series, organisation: str, kind: str, seconds: float
    ) -> None:
        """Records a latency in seconds."""
        key = (series, organisation, kind)
        if key not in self._histograms:
            self._histograms[key] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        self._histograms[key].record_value(value)

    def count(self, organisation: str, kind: str, outcome: str) -> None:
        """Counts a request by its outcome."""
        self._counters[(organisation, kind, outcome)] += 1

    def add(self, name: str, labels: dict[str, str]) -> None:
        """Adds one to a counter of its own name.

        Args:
          name: Name of the counter.
          labels: Values by label; the same labels for each call.
        """
        self._named[(name, *labels.items())] += 1

    def count_overload(
        self, organisation: str, kind: str, decision: str
    ) -> None:
        """Counts a decision that was taken for lack of free slots."""
        self._overload[(organisation, kind, decision)] += 1

    def encode(self) -> dict[str, str]:
        """Returns the histograms in HdrHistogram's compressed format.

        The keys are `series/organisation/kind`. Histograms of several nodes
        are merged with HdrHistogram's `decode_and_add`.
        """
        return {
            f'{series.value}/{organisation}/{kind}': item.encode().decode()
            for (series, organisation, kind), item in self._histograms.items()
        }

    def render(
        self,
        gauges: dict[str, float],
        labelled: dict[tuple[str, str], dict[str, float]] | None = None,
    ) -> str:
        """Returns the metrics in the Prometheus text format.

        Args:
          gauges: Gauge values by metric name.
          labelled: Gauge values by the value of a label, by the metric's name
            and the label's.
        """
        lines = []
        for name, value in gauges.items():
            lines += [f'# TYPE {name} gauge', f'{name} {value}']
        for (name, label), values in (labelled or {}).items():
            lines.append(f'# TYPE {name} gauge')
            lines += [
                f'{name}{_labels((label,), (item,))} {value}'
                for item, value in values.items()
            ]
        lines.append('# TYPE radishcourse_requests_total counter')
        for labels, count in self._counters.items():
            label_text = _labels(('organisation', 'kind', 'outcome'), labels)
            lines.append(f'radishcourse_requests_total{label_text} {count}')
        for name in sorted({key[0] for key in self._named}):
            lines.append(f'# TYPE {name} counter')
            for (counter, *pairs), count in self._named.items():
                if counter == name:
                    label_text = _labels(*zip(*pairs, strict=True))
                    lines.append(f'{name}{label_text} {count}')
        lines.append('# TYPE radishcourse_overload_total counter')
        for labels, count in self._overload.items():
            label_text = _labels(('organisation', 'kind', 'decision'), labels)
            lines.append(f'radishcourse_overload_total{label_text} {count}')
        for series in Series:
            lines.append(f'# TYPE {series.value} summary')
            lines += self._render_series(series)
        return '\n'.join(lines) + '\n'

    def _render_series(self, series: Series) -> list[str]:
        lines = []
        for (recorded_series, *labels), item in self._histograms.items():
            if recorded_series is not series:
                continue
            for quantile in QUANTILES:
                label_text = _labels(
                    ('organisation', 'kind', 'quantile'), (*labels, quantile)
                )
                value = item.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(f'{series.value}{label_text} {value}')
            label_text = _labels(('organisation', 'kind'), labels)
            lines.append(
                f'{series.value}_count{label_text} {item.get_total_count()}'
            )
        return lines


def _labels(names, values) -> str:
    pairs = (
        f'{name}="{_escape(str(value))}"'
        for name, value in zip(names, values, strict=True)
    )
    return '{' + ','.join(pairs) + '}'


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
