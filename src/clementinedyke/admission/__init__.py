"""Queues, limits and refusals of the requests of callers."""

from clementinedyke.admission.core import (
    AdmissionCore,
)
from clementinedyke.admission.events import (
    AdmissionTicked,
    CallerLeft,
    CustomersChanged,
    CustomerTokens,
    CustomerWeight,
    PromptProcessed,
    RefuseRequest,
    RemoteConsumed,
    RequestArrived,
    RequestEnded,
    RoomReported,
    StartRequest,
)

__all__ = (
    'AdmissionCore',
    'AdmissionTicked',
    'CallerLeft',
    'CustomerTokens',
    'CustomerWeight',
    'CustomersChanged',
    'PromptProcessed',
    'RefuseRequest',
    'RemoteConsumed',
    'RequestArrived',
    'RequestEnded',
    'RoomReported',
    'StartRequest',
)
