"""Control protocol between daemons: daemon port, links and messages."""

from clementinedyke.daemons.component import ControlComponent
from clementinedyke.daemons.directory_source import DirectorySource
from clementinedyke.daemons.options import ControlOptions

__all__ = ['ControlComponent', 'ControlOptions', 'DirectorySource']
