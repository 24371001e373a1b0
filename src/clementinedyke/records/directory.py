"""Read-only view of the records in force at one revision."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from clementinedyke.records.core import (
    CapacityRecord,
    CustomerRecord,
    DeathRecord,
    KeyRecord,
    ServiceRecord,
)


@dataclass(frozen=True, slots=True)
class Directory:
    """Records in force, indexed for the handling of requests."""

    revision: int = 0
    services: dict[str, ServiceRecord] = field(default_factory=dict)
    models: dict[str, ServiceRecord] = field(default_factory=dict)
    customers: dict[str, CustomerRecord] = field(default_factory=dict)
    #: Keys by the digest of their secret.
    keys: dict[str, KeyRecord] = field(default_factory=dict)
    capacities: dict[str, CapacityRecord] = field(default_factory=dict)
    deaths: dict[str, DeathRecord] = field(default_factory=dict)

    @classmethod
    def compile(cls, revision: int, records: Iterable[object]) -> 'Directory':
        """Return the directory of a set of records.

        :param revision: revision of the records.
        :param records: validated records of all kinds.
        """
        directory = cls(revision=revision)
        # Each access to a singledispatchmethod builds a new function.
        add = directory._add
        for record in records:
            add(record)
        return directory

    def get_key(self, digest: str) -> KeyRecord | None:
        """Return the key record with a digest, withdrawn or not.

        :param digest: hexadecimal SHA-256 digest of the secret.
        """
        return self.keys.get(digest)

    @singledispatchmethod
    def _add(self, record: object) -> None:
        """Ignore a record of a kind that has no index."""

    @_add.register
    def _add_service(self, record: ServiceRecord) -> None:
        self.services[record.name] = record
        self.models.update(dict.fromkeys(record.models, record))

    @_add.register
    def _add_customer(self, record: CustomerRecord) -> None:
        self.customers[record.name] = record

    @_add.register
    def _add_key(self, record: KeyRecord) -> None:
        self.keys[record.digest] = record

    @_add.register
    def _add_capacity(self, record: CapacityRecord) -> None:
        self.capacities[record.name] = record

    @_add.register
    def _add_death(self, record: DeathRecord) -> None:
        self.deaths[record.name] = record
