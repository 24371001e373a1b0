"""Callers: the chat protocol, plain services and refusals."""

from clementinedyke.callers.handler import CallerHandler

__all__ = ('CallerHandler',)
