"""Tables, figures and plots of the measurements."""

import dataclasses
import pathlib
import statistics

FOLDER = 'build/measures'


@dataclasses.dataclass(frozen=True)
class Line:
    """A row of a table: one measure of one policy over several seeds."""

    case: str
    policy: str
    measure: str
    values: list[float]

    @property
    def median(self) -> float:
        """Median over the seeds."""
        return statistics.median(self.values)

    @property
    def spread(self) -> str:
        """Least and greatest value over the seeds."""
        return f'{min(self.values):.3f}..{max(self.values):.3f}'


def publish(
    name: str, lines: list[Line], figures: list[str], folder: str
) -> None:
    """Prints and writes a table, a plot and the figures.

    Args:
      name: Name of the measurement and of its files.
      lines: Rows of the table.
      figures: Closing lines, each a figure with its goal.
      folder: Where the files are written.
    """
    widths = [
        max([len(getattr(line, part)) for line in lines], default=0) + 2
        for part in ('case', 'policy', 'measure')
    ]
    text = [
        f'{line.case:{widths[0]}}{line.policy:{widths[1]}}'
        f'{line.measure:{widths[2]}}{line.median:10.3f}  {line.spread}'
        for line in lines
    ]
    text += [f'figure: {figure}' for figure in figures]
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    (target / f'{name}.txt').write_text('\n'.join(text) + '\n')
    _plot(lines, target / f'{name}.png')
    print('\n'.join(text))


def _plot(lines: list[Line], path: pathlib.Path) -> None:
    # Loaded here because only measurements need the dev dependency.
    import matplotlib.figure

    measures = list(dict.fromkeys(line.measure for line in lines))
    figure = matplotlib.figure.Figure(figsize=(8, 2.5 * len(measures)))
    for index, measure in enumerate(measures):
        axes = figure.add_subplot(len(measures), 1, index + 1)
        chosen = [line for line in lines if line.measure == measure]
        labels = [f'{line.case} {line.policy}' for line in chosen]
        axes.boxplot([line.values for line in chosen], vert=False)
        axes.set_yticks(range(1, len(labels) + 1), labels, fontsize=5)
        axes.set_title(measure, fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
