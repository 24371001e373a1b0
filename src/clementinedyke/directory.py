"""Read-only view of the records in force at one revision."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from clementinedyke.records import (
    CustomerRecord,
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
    keys: dict[str, KeyRecord] = field(default_factory=dict)

    @classmethod
    def compile(cls, revision: int, records: Iterable[object]) -> 'Directory':
        """Return the directory of a set of records.

        :param revision: revision of the records.
        :param records: validated records of all kinds.
        """
        directory = cls(revision=revision)
        for record in records:
            directory._add(record)
        return directory

    def get_key(self, digest: str) -> KeyRecord | None:
        """Return the key record with a digest, withdrawn or not.

        :param digest: hexadecimal SHA-256 digest of the secret.
        """
        return self.keys.get(digest)

    def _add(self, record: object) -> None:
        if isinstance(record, ServiceRecord):
            self.services[record.name] = record
            self.models.update(dict.fromkeys(record.models, record))
        elif isinstance(record, CustomerRecord):
            self.customers[record.name] = record
        elif isinstance(record, KeyRecord):
            self.keys[record.digest] = record
