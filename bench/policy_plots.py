"""Plots the results of the policy benchmark."""

from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

#: Interval between the points of a series.
STEP_SECONDS = 10
#: Width and height in inches.
FIGURE_SIZE = (6, 3.2)
DPI = 80


def plot_reversal(series: dict[str, list[float]], path: Path) -> None:
    """Plot goodput over time per policy.

    :param series: goodput of each ten seconds, by policy.
    :param path: PNG file to write.
    """
    figure, axes = plt.subplots(figsize=FIGURE_SIZE, dpi=DPI)
    for policy, shares in series.items():
        times = [STEP_SECONDS * index for index in range(len(shares))]
        axes.plot(times, shares, label=policy)
    axes.axvspan(60, 180, alpha=0.1)
    axes.set_xlabel('time in s; the mix turns in the shaded part')
    _finish(figure, axes, path)


def plot_load(
    loads: list[float], curves: dict[str, list[float]], path: Path
) -> None:
    """Plot goodput against load per policy.

    :param loads: loads as shares of what the ideal fleet serves.
    :param curves: goodput at each load, by policy.
    :param path: PNG file to write.
    """
    figure, axes = plt.subplots(figsize=FIGURE_SIZE, dpi=DPI)
    for policy, shares in curves.items():
        axes.plot(loads, shares, marker='o', label=policy)
    axes.set_xlabel('load as a share of what the bound serves')
    _finish(figure, axes, path)


def _finish(figure: plt.Figure, axes: plt.Axes, path: Path) -> None:
    axes.set_ylabel('goodput share')
    axes.set_ylim(0, 1.02)
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
