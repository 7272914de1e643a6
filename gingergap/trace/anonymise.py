"""Replaces the subscriber numbers in a trace by others of the same form, consistently, so that a replay decides the same.

Each number is encrypted by a format-preserving cipher (FF3-1, NIST SP 800-38G rev. 1) under a key: digits stay digits,
letters and digits stay such, punctuation and a URI scheme are kept, and no two numbers map to the same one. Texts too
short for that cipher are replaced by a permutation of all texts of their length, derived from the key. Numbers occur in
arrivals, in the module's snapshots, in operators' remarks and possibly in names.
"""

import ast
import hashlib
import inspect
import random
import re
import string
from functools import lru_cache
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
from ff3 import FF3Cipher

from .. import call_controller
from .entry_writer import EntryWriter
from .format import CODES, FORMAT, SNAPSHOT, BadTraceError, Header, Source
from .snapshot import BadSnapshotError, from_state, state_of
from .stream import Trace

DIALOG_RECEIVED, RESTORE, REMARK = CODES["dialog_received"], CODES["restore"], CODES["remark"]
NUMBER_FIELD = 6  # index of the number in a dialog_received record
DIGITS, ALPHANUMERIC = string.digits, string.digits + string.ascii_letters
CIPHER_LENGTHS = {DIGITS: (6, 28), ALPHANUMERIC: (4, 16)}  # shortest and longest text the cipher accepts
NUMBER_IN_TEXT = re.compile(r"\+?\d(?:[ ./()-]?\d){2,}")  # three digits or more, however they are grouped
MIN_KEY_BYTES = 16


class NumberCipher:
    """Replaces numbers under a key of at least 16 bytes. Raises ValueError for a shorter one."""

    def __init__(self, key: bytes) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"a key has at least {MIN_KEY_BYTES} bytes")
        self.seed = hashlib.blake2s(key, person=b"tracenum").digest()
        derived = hashlib.blake2s(self.seed + b"cipher").digest()
        self.ciphers = {
            alphabet: FF3Cipher.withCustomAlphabet(derived[:16].hex(), derived[16:23].hex(), alphabet)
            for alphabet in CIPHER_LENGTHS
        }
        self.permutations: dict[tuple[str, int], list[int]] = {}  # by alphabet and length
        self.replace_number = lru_cache(100_000)(self._replace_number)

    def _replace_number(self, text: str) -> str:
        """Replaces a whole number. Anything before a colon is a URI scheme and is kept."""
        scheme, colon, body = text.rpartition(":")
        kept_characters = [char if char not in ALPHANUMERIC else "" for char in body]
        packed = "".join(char for char in body if char in ALPHANUMERIC)
        if not packed:
            return text
        alphabet = DIGITS if packed.isdigit() else ALPHANUMERIC
        replaced = self._encrypt(packed, alphabet)
        while alphabet == ALPHANUMERIC and replaced.isdigit():  # it could equal the image of an all-digit number
            replaced = self._encrypt(replaced, alphabet)
        characters = iter(replaced)
        return scheme + colon + "".join(char or next(characters) for char in kept_characters)

    def replace_in_text(self, text: str) -> str:
        """Free text with every number in it replaced."""
        return NUMBER_IN_TEXT.sub(lambda match: self.replace_number(match.group()), text)

    def _encrypt(self, text: str, alphabet: str) -> str:
        shortest, longest = CIPHER_LENGTHS[alphabet]
        pieces = [text[begin : begin + longest] for begin in range(0, len(text), longest)]
        return "".join(
            self.ciphers[alphabet].encrypt(piece) if len(piece) >= shortest else self._permute(piece, alphabet) for piece in pieces
        )

    def _permute(self, text: str, alphabet: str) -> str:
        base, length = len(alphabet), len(text)
        permutation = self.permutations.get((alphabet, length))
        if permutation is None:
            permutation = self.permutations[alphabet, length] = list(range(base**length))
            random.Random(self.seed + f"{base} {length}".encode()).shuffle(permutation)
        value = 0
        for char in text:
            value = value * base + alphabet.index(char)
        value, characters = permutation[value], []
        for _ in range(length):
            value, index = divmod(value, base)
            characters.append(alphabet[index])
        return "".join(reversed(characters))


def module_strings(module: ModuleType = call_controller) -> frozenset[str]:
    """The string literals of the module's source: in its state these texts are not numbers."""
    tree = ast.parse(inspect.getsource(module))
    return frozenset(node.value for node in ast.walk(tree) if isinstance(node, ast.Constant) and isinstance(node.value, str))


class StateRewriter:
    """Replaces every text in a value, recursively, except those in `excluded`. An object that is referenced several
    times stays one object.
    """

    def __init__(self, numbers: NumberCipher, excluded: frozenset[str]) -> None:
        self.numbers, self.excluded = numbers, excluded
        self.rewritten: dict[int, Any] = {}  # by the id of the original
        self.originals: list[Any] = []  # kept alive, because ids are reused after an object is freed

    def rewrite(self, value: Any) -> Any:
        if isinstance(value, str):
            return value if value in self.excluded else self.numbers.replace_number(value)
        if value is None or isinstance(value, int | float | bytes):
            return value
        if id(value) in self.rewritten:
            return self.rewritten[id(value)]
        self.originals.append(value)
        if isinstance(value, tuple):
            parts = [self.rewrite(part) for part in value]
            result = type(value)(*parts) if hasattr(value, "_fields") else tuple(parts)
            self.rewritten[id(value)] = result
            return result
        if isinstance(value, set | frozenset):
            return type(value)(self.rewrite(part) for part in value)
        self.rewritten[id(value)] = value
        if isinstance(value, list):
            value[:] = [self.rewrite(part) for part in value]
        elif isinstance(value, dict):
            parts = [(self.rewrite(key), self.rewrite(part)) for key, part in value.items()]
            value.clear()
            value.update(parts)
        else:
            names = list(getattr(value, "__dict__", ()))
            for cls in type(value).__mro__:
                names += [name for name in getattr(cls, "__slots__", ()) if hasattr(value, name)]
            for name in names:
                setattr(value, name, self.rewrite(getattr(value, name)))
        return value


def anonymise(trace: Trace, numbers: NumberCipher, folder: Path) -> list[EntryWriter]:
    """Writes an anonymised copy of each file of the trace into `folder`, under its own name, and returns the writers.

    Raises BadTraceError, also for a snapshot that cannot be read: the numbers in it are unknown.
    """
    writers = []
    for reader in trace.readers:
        header = anonymise_header(reader.header, numbers)
        writer = EntryWriter(folder / numbers.replace_in_text(reader.path.name), header)
        for block in reader.blocks():
            for entry in trace.unpack_block(reader, block):
                record = entry.record
                if record[0] == DIALOG_RECEIVED:
                    record[NUMBER_FIELD] = numbers.replace_number(record[NUMBER_FIELD])
                elif record[0] == RESTORE:
                    callers = [[numbers.replace_number(caller[0]), *caller[1:]] for caller in record[2][3]]
                    record[2] = [*record[2][:3], callers, *record[2][4:]]
                elif record[0] == REMARK:
                    record[2] = numbers.replace_in_text(record[2])
                elif record[0] == SNAPSHOT:
                    record[2] = anonymise_snapshot(record[2], numbers)
                writer.write(entry)
        writer.close()
        writers.append(writer)
    return writers


def anonymise_header(header: Header, numbers: NumberCipher) -> Header:
    def replaced_fields(part: Header | Source) -> dict[str, Any]:
        return {
            "instance": numbers.replace_in_text(part.instance),
            "figures": _replace_in_values(part.figures, numbers),
        }

    sources: list[Source] = [msgspec.structs.replace(source, **replaced_fields(source)) for source in header.sources]
    return msgspec.structs.replace(header, sources=sources, format=FORMAT, **replaced_fields(header))


def _replace_in_values(value: Any, numbers: NumberCipher) -> Any:
    """Plain data with the numbers in its texts replaced; the keys of dicts are kept."""
    if isinstance(value, str):
        return numbers.replace_in_text(value)
    if isinstance(value, list):
        return [_replace_in_values(part, numbers) for part in value]
    if isinstance(value, dict):
        return {name: _replace_in_values(part, numbers) for name, part in value.items()}
    return value


def anonymise_snapshot(snapshot: bytes, numbers: NumberCipher) -> bytes:
    """The module's state with its numbers replaced; string literals of the module are kept. Raises BadTraceError."""
    try:
        fields = state_of(snapshot)
    except BadSnapshotError as error:
        raise BadTraceError(f"{error}; the telephone numbers in it cannot be found") from None
    rewriter = StateRewriter(numbers, module_strings())
    return from_state({name: rewriter.rewrite(value) for name, value in fields.items()})
