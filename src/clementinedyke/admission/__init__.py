"""Admission control: queues, starts and refuses incoming requests."""

from clementinedyke.admission.core import (
    AdmissionCore,
)
from clementinedyke.admission.events import (
    AdmissionTicked,
    CallerLeft,
    CustomersChanged,
    CustomerTokens,
    CustomerWeight,
    FreeCapacityReported,
    PromptProcessed,
    RefuseRequest,
    RemoteConsumption,
    RequestArrived,
    RequestEnded,
    StartRequest,
)

__all__ = (
    'AdmissionCore',
    'AdmissionTicked',
    'CallerLeft',
    'CustomerTokens',
    'CustomerWeight',
    'CustomersChanged',
    'FreeCapacityReported',
    'PromptProcessed',
    'RefuseRequest',
    'RemoteConsumption',
    'RequestArrived',
    'RequestEnded',
    'StartRequest',
)
