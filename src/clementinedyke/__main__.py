"""Runs the command line as ``python -m clementinedyke``."""

from clementinedyke.cli import main

if __name__ == '__main__':
    main()
