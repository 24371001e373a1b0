"""Fingerprints in evidence that stand for a part of a prompt."""

#: Prefixes of the fingerprints that stand for a part of a lost prompt, and for
#: one of a prompt that was a trial of the part. Other fingerprints are
#: hexadecimal.
_PART_PREFIX = 'p:'
_TRIAL_PREFIX = 't:'
_PREFIX_LENGTH = 2


def compile_label(part: str, *, is_trial: bool) -> str:
    """Return the fingerprint that stands for a part.

    :param part: digest of the part.
    :param is_trial: whether the lost request was a trial of the part.
    """
    return f'{_TRIAL_PREFIX if is_trial else _PART_PREFIX}{part}'


def is_part_label(fingerprint: str) -> bool:
    """Return whether a fingerprint stands for a part of a prompt.

    :param fingerprint: fingerprint in an item of evidence.
    """
    return fingerprint.startswith((_PART_PREFIX, _TRIAL_PREFIX))


def is_trial_label(label: str) -> bool:
    """Return whether a label stands for a part on trial.

    :param label: fingerprint that stands for a part.
    """
    return label.startswith(_TRIAL_PREFIX)


def get_part(label: str) -> str:
    """Return the digest of the part that a label stands for.

    :param label: fingerprint that stands for a part.
    """
    return label[_PREFIX_LENGTH:]
