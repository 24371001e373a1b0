"""Index of all records at one revision."""

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
    """All records at one revision, indexed for request handling.

    ``models`` has the service of each model name; ``keys`` is indexed by the
    digest of the secret, the other fields by the record name.
    """

    revision: int = 0
    services: dict[str, ServiceRecord] = field(default_factory=dict)
    models: dict[str, ServiceRecord] = field(default_factory=dict)
    customers: dict[str, CustomerRecord] = field(default_factory=dict)
    keys: dict[str, KeyRecord] = field(default_factory=dict)
    capacities: dict[str, CapacityRecord] = field(default_factory=dict)
    deaths: dict[str, DeathRecord] = field(default_factory=dict)

    @classmethod
    def compile(cls, revision: int, records: Iterable[object]) -> 'Directory':
        """Index a set of records.

        :param revision: revision of the table at which they were read.
        :param records: validated records of any kinds.
        """
        directory = cls(revision=revision)
        # Looked up once: each access to a singledispatchmethod creates a
        # new function.
        add = directory._add
        for record in records:
            add(record)
        return directory

    def get_key(self, digest: str) -> KeyRecord | None:
        """Return the key record with a digest, None if there is none.

        The record may be withdrawn.

        :param digest: hexadecimal SHA-256 digest of the secret.
        """
        return self.keys.get(digest)

    @singledispatchmethod
    def _add(self, record: object) -> None:
        """Ignore a record of a kind without an index."""

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
