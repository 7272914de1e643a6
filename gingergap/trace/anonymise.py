"""Numbers replaced by others of the same form, the same ones always by the same, so that replays decide alike.

Each number is enciphered by a format-preserving cipher (FF3-1, NIST SP 800-38G rev. 1) under the run's key: digits stay
digits, letters and digits stay such, punctuation and a scheme stay where they are, and no two numbers become one. What
is too short for that cipher is replaced by a permutation of all texts of its length, drawn from the key. Numbers stand in
arrivals, in the module's snapshots, in operators' remarks and perhaps in names.
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
from .copy import Copy
from .format import CODES, FORMAT, SNAPSHOT, BadTraceError, Header, Source
from .snapshot import BadSnapshotError, from_state, state_of
from .stream import Trace

DIALOG_RECEIVED, RESTORE, REMARK = CODES["dialog_received"], CODES["restore"], CODES["remark"]
NUMBER_AT = 6  # in dialog_received
DIGITS, MIXED = string.digits, string.digits + string.ascii_letters
PIECES = {DIGITS: (6, 28), MIXED: (4, 16)}  # the cipher's shortest and the longest piece it is given
IN_TEXT = re.compile(r"\+?\d(?:[ ./()-]?\d){2,}")  # three digits or more, however they are grouped
LEAST_KEY = 16


class Numbers:
    """Replaces numbers under a key of at least 16 bytes. Raises ValueError for a shorter one."""

    def __init__(self, key: bytes) -> None:
        if len(key) < LEAST_KEY:
            raise ValueError(f"a key has at least {LEAST_KEY} bytes")
        self.seed = hashlib.blake2s(key, person=b"tracenum").digest()
        drawn = hashlib.blake2s(self.seed + b"cipher").digest()
        self.ciphers = {
            alphabet: FF3Cipher.withCustomAlphabet(drawn[:16].hex(), drawn[16:23].hex(), alphabet) for alphabet in PIECES
        }
        self.tables: dict[tuple[str, int], list[int]] = {}
        self.number = lru_cache(100_000)(self._number)

    def _number(self, text: str) -> str:
        """One number in full. What stands before a colon is a scheme, and stays."""
        scheme, colon, body = text.rpartition(":")
        kept = [char if char not in MIXED else "" for char in body]
        packed = "".join(char for char in body if char in MIXED)
        if not packed:
            return text
        alphabet = DIGITS if packed.isdigit() else MIXED
        replaced = self._replaced(packed, alphabet)
        while alphabet == MIXED and replaced.isdigit():  # else it could meet the image of a number of digits alone
            replaced = self._replaced(replaced, alphabet)
        drawn = iter(replaced)
        return scheme + colon + "".join(char or next(drawn) for char in kept)

    def text(self, text: str) -> str:
        """Free text with every number in it replaced."""
        return IN_TEXT.sub(lambda found: self.number(found.group()), text)

    def _replaced(self, text: str, alphabet: str) -> str:
        shortest, longest = PIECES[alphabet]
        pieces = [text[begun : begun + longest] for begun in range(0, len(text), longest)]
        return "".join(
            self.ciphers[alphabet].encrypt(piece) if len(piece) >= shortest else self._short(piece, alphabet) for piece in pieces
        )

    def _short(self, text: str, alphabet: str) -> str:
        base, length = len(alphabet), len(text)
        table = self.tables.get((alphabet, length))
        if table is None:
            table = self.tables[alphabet, length] = list(range(base**length))
            random.Random(self.seed + f"{base} {length}".encode()).shuffle(table)
        value = 0
        for char in text:
            value = value * base + alphabet.index(char)
        value, drawn = table[value], []
        for _ in range(length):
            value, place = divmod(value, base)
            drawn.append(alphabet[place])
        return "".join(reversed(drawn))


def own_words(module: ModuleType = call_controller) -> frozenset[str]:
    """The texts that the module's own source uses: in its state they are no numbers."""
    tree = ast.parse(inspect.getsource(module))
    return frozenset(node.value for node in ast.walk(tree) if isinstance(node, ast.Constant) and isinstance(node.value, str))


class Walk:
    """Replaces every text in a value, in depth; an object that stands in several places stays one."""

    def __init__(self, numbers: Numbers, spared: frozenset[str]) -> None:
        self.numbers, self.spared = numbers, spared
        self.seen: dict[int, Any] = {}
        self.alive: list[Any] = []  # an id is an object's only while it lives

    def of(self, value: Any) -> Any:
        if isinstance(value, str):
            return value if value in self.spared else self.numbers.number(value)
        if value is None or isinstance(value, int | float | bytes):
            return value
        if id(value) in self.seen:
            return self.seen[id(value)]
        self.alive.append(value)
        if isinstance(value, tuple):
            parts = [self.of(part) for part in value]
            made = type(value)(*parts) if hasattr(value, "_fields") else tuple(parts)
            self.seen[id(value)] = made
            return made
        if isinstance(value, set | frozenset):
            return type(value)(self.of(part) for part in value)
        self.seen[id(value)] = value
        if isinstance(value, list):
            value[:] = [self.of(part) for part in value]
        elif isinstance(value, dict):
            parts = [(self.of(key), self.of(part)) for key, part in value.items()]
            value.clear()
            value.update(parts)
        else:
            names = list(getattr(value, "__dict__", ()))
            for kind in type(value).__mro__:
                names += [name for name in getattr(kind, "__slots__", ()) if hasattr(value, name)]
            for name in names:
                setattr(value, name, self.of(getattr(value, name)))
        return value


def anonymise(trace: Trace, numbers: Numbers, folder: Path) -> list[Copy]:
    """Write each file of the trace anew into `folder`, under its own name. Raises BadTraceError: of a snapshot that
    can't be read nobody can say what numbers are in it."""
    written = []
    for reader in trace.readers:
        header = header_without(reader.header, numbers)
        copy = Copy(folder / numbers.text(reader.path.name), header)
        for block in reader.blocks():
            for entry in trace.unpacked(reader, block):
                record = entry.record
                if record[0] == DIALOG_RECEIVED:
                    record[NUMBER_AT] = numbers.number(record[NUMBER_AT])
                elif record[0] == RESTORE:
                    callers = [[numbers.number(caller[0]), *caller[1:]] for caller in record[2][3]]
                    record[2] = [*record[2][:3], callers, *record[2][4:]]
                elif record[0] == REMARK:
                    record[2] = numbers.text(record[2])
                elif record[0] == SNAPSHOT:
                    record[2] = state_without(record[2], numbers)
                copy.put(entry)
        copy.close()
        written.append(copy)
    return written


def header_without(header: Header, numbers: Numbers) -> Header:
    def clean(one: Header | Source) -> dict[str, Any]:
        return {"instance": numbers.text(one.instance), "figures": _texts(one.figures, numbers)}

    sources: list[Source] = [msgspec.structs.replace(source, **clean(source)) for source in header.sources]
    return msgspec.structs.replace(header, sources=sources, format=FORMAT, **clean(header))


def _texts(value: Any, numbers: Numbers) -> Any:
    """Figures as they are, but for texts in their values."""
    if isinstance(value, str):
        return numbers.text(value)
    if isinstance(value, list):
        return [_texts(part, numbers) for part in value]
    if isinstance(value, dict):
        return {name: _texts(part, numbers) for name, part in value.items()}
    return value


def state_without(state: bytes, numbers: Numbers) -> bytes:
    """The module's state with its numbers replaced; the module's own words stay."""
    try:
        fields = state_of(state)
    except BadSnapshotError as error:
        raise BadTraceError(f"{error}; it is not known which numbers it holds") from None
    walk = Walk(numbers, own_words())
    return from_state({name: walk.of(value) for name, value in fields.items()})
