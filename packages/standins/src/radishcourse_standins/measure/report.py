"""Tables, figures and plots of the measurements."""

import dataclasses
import pathlib
import statistics

FOLDER = 'build/measures'


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of a table: one measure of one policy over several seeds.

    Attributes:
      case: Condition of the runs.
      policy: The policy.
      measure: Name of the measure, with its unit.
      values: One value for each seed.
    """

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
        """Minimum and maximum over the seeds."""
        return f'{min(self.values):.3f}..{max(self.values):.3f}'


def publish(
    name: str, rows: list[Row], figures: list[str], folder: str
) -> None:
    """Prints and writes a table, a plot and the figures.

    Args:
      name: Name of the measurement and of its files.
      rows: Rows of the table.
      figures: Main results as text, each with its goal.
      folder: Folder for the files; created if missing.
    """
    widths = [
        max([len(getattr(row, column)) for row in rows], default=0) + 2
        for column in ('case', 'policy', 'measure')
    ]
    output_lines = [
        f'{row.case:{widths[0]}}{row.policy:{widths[1]}}'
        f'{row.measure:{widths[2]}}{row.median:10.3f}  {row.spread}'
        for row in rows
    ]
    output_lines += [f'figure: {figure}' for figure in figures]
    output_folder = pathlib.Path(folder)
    output_folder.mkdir(parents=True, exist_ok=True)
    (output_folder / f'{name}.txt').write_text('\n'.join(output_lines) + '\n')
    _plot(rows, output_folder / f'{name}.png')
    print('\n'.join(output_lines))


def _plot(rows: list[Row], path: pathlib.Path) -> None:
    # Imported here since matplotlib is a development dependency only.
    import matplotlib.figure

    measures = list(dict.fromkeys(row.measure for row in rows))
    figure = matplotlib.figure.Figure(figsize=(8, 2.5 * len(measures)))
    for index, measure in enumerate(measures):
        axes = figure.add_subplot(len(measures), 1, index + 1)
        measure_rows = [row for row in rows if row.measure == measure]
        labels = [f'{row.case} {row.policy}' for row in measure_rows]
        axes.boxplot([row.values for row in measure_rows], vert=False)
        axes.set_yticks(range(1, len(labels) + 1), labels, fontsize=5)
        axes.set_title(measure, fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
