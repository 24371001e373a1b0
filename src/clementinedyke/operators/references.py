"""Validation of a record change against the other records."""

from collections.abc import Mapping
from functools import singledispatch

from clementinedyke.exceptions import RecordError
from clementinedyke.records.core import (
    CapacityRecord,
    CustomerRecord,
    KeyRecord,
    Record,
    ServiceRecord,
)

#: Records by row key.
Records = Mapping[str, Record]


@singledispatch
def check_put(record: Record, others: Records) -> None:
    """Validate that a record does not conflict with another one.

    :param record: record to be written.
    :param others: current records without the one that is replaced.
    :raises RecordError: if it does, naming the invalid field.
    """


@singledispatch
def check_delete(record: Record, others: Records) -> None:
    """Validate that no other record refers to a record to be deleted.

    :param record: record to be deleted.
    :param others: the other current records.
    :raises RecordError: naming a record that refers to it.
    """


@check_put.register
def _check_put_service(record: ServiceRecord, others: Records) -> None:
    for other in others.values():
        if not isinstance(other, ServiceRecord):
            continue
        for model in record.models:
            if model in other.models:
                raise RecordError(
                    f"field 'models' has value {model!r}: "
                    f'service {other.name!r} claims this model'
                )


@check_put.register
def _check_put_key(record: KeyRecord, others: Records) -> None:
    if f'customer/{record.customer}' not in others:
        raise RecordError(
            f"field 'customer' has value {record.customer!r}: "
            'a customer record of this name must exist'
        )
    for other in others.values():
        # If two keys had the same secret, the requests of one customer could
        # be attributed to the other.
        if isinstance(other, KeyRecord) and other.digest == record.digest:
            raise RecordError(
                "field 'digest' has a value that another key has: "
                f'key {other.name!r}'
            )


@check_put.register
def _check_put_capacity(record: CapacityRecord, others: Records) -> None:
    if f'service/{record.service}' not in others:
        raise RecordError(
            f"field 'service' has value {record.service!r}: "
            'a service record of this name must exist'
        )


@check_delete.register
def _check_delete_customer(record: CustomerRecord, others: Records) -> None:
    for key, other in sorted(others.items()):
        if isinstance(other, KeyRecord) and other.customer == record.name:
            raise RecordError(
                f'customer {record.name!r} cannot be deleted: {key} exists'
            )


@check_delete.register
def _check_delete_service(record: ServiceRecord, others: Records) -> None:
    for key, other in sorted(others.items()):
        if isinstance(other, CapacityRecord) and other.service == record.name:
            raise RecordError(
                f'service {record.name!r} cannot be deleted: {key} exists'
            )
