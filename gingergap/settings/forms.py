"""S-expressions to checked records. A form `(edge (listen "127.0.0.1:5060") (traffic-type ...) ...)` is a name and
its parts; a part that a record holds as a list may stand any number of times."""

from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import sexpdata
from pydantic import BaseModel, ConfigDict, ValidationError


class BadSettingsError(Exception):
    """What is wrong with a file: one line each, naming file, place and why."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class Form(BaseModel):
    """A record read from a form: fields are named with dashes in the file."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, populate_by_name=True, alias_generator=lambda name: name.replace("_", "-")
    )


def read(path: str | Path, **kinds: type[Form]) -> Form:
    """The one form in a file, checked; its name picks the record. Raises BadSettingsError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise BadSettingsError([f"{path}: {why}"]) from None
    return parse(text, str(path), **kinds)


def parse(text: str, where: str, **kinds: type[Form]) -> Form:
    """As `read`, from a text; `where` names it in faults."""
    code = "\n".join(_strip_comment(line) for line in text.splitlines())
    try:
        forms = sexpdata.parse(code)
    except Exception as error:  # the library raises several kinds, and AssertionError among them
        raise BadSettingsError([f"{where}: no S-expression: {str(error)[:80] or type(error).__name__}"]) from None
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise BadSettingsError([f"{where}: one form in brackets is expected"])
    name = _name(forms[0][0])
    if name not in kinds:
        raise BadSettingsError([f"{where}: the form is named {name!r}, not {' or '.join(sorted(kinds))}"])
    faults: list[str] = []
    values = _record(kinds[name], forms[0][1:], f"{where}: {name}", faults)
    if faults:
        raise BadSettingsError(faults)
    try:
        return kinds[name].model_validate(values)
    except ValidationError as error:
        raise BadSettingsError([_fault(where, name, fault) for fault in error.errors()]) from None


def _strip_comment(line: str) -> str:
    quoted = escaped = False
    for place, char in enumerate(line):
        if escaped:
            escaped = False
        elif char == "\\":
            escaped = True
        elif char == '"':
            quoted = not quoted
        elif char == ";" and not quoted:
            return line[:place]
    return line


def _fault(where: str, name: str, fault: Any) -> str:
    place = name
    for part in fault["loc"]:
        place += f"[{part}]" if isinstance(part, int) else f".{str(part).replace('_', '-')}"
    why = fault["msg"].removeprefix("Value error, ")
    return f"{where}: {place}: {why[:1].lower()}{why[1:]}"


def _name(atom: Any) -> str:
    return atom.value() if isinstance(atom, sexpdata.Symbol) else str(atom)


def _plain(atom: Any) -> Any:
    if isinstance(atom, sexpdata.Symbol):
        return atom.value()
    if isinstance(atom, list):
        return [_plain(part) for part in atom]
    return atom


def _record(kind: type[Form], parts: list[Any], where: str, faults: list[str]) -> dict[str, Any]:
    fields = {(field.alias or name): field.annotation for name, field in kind.model_fields.items()}
    values: dict[str, Any] = {}
    for part in parts:
        if not isinstance(part, list) or not part or not isinstance(part[0], sexpdata.Symbol):
            faults.append(f"{where}: {str(_plain(part))[:40]!r} is no part in brackets")
            continue
        name = part[0].value()
        annotation = fields.get(name)
        if annotation is None:
            faults.append(f"{where}: {name}: no such part")
            continue
        many = get_origin(annotation) is list
        inner = get_args(annotation)[0] if many else annotation
        record = _record_of(inner)
        if record is not None:
            value: Any = _record(record, part[1:], f"{where}.{name}", faults)
        elif many:
            values.setdefault(name, []).extend(_plain(atom) for atom in part[1:])
            continue
        elif len(part) != 2:
            faults.append(f"{where}: {name}: one value is expected")
            continue
        else:
            value = _plain(part[1])
        if many:
            values.setdefault(name, []).append(value)
        elif name in values:
            faults.append(f"{where}: {name}: stands twice")
        else:
            values[name] = value
    return values


def _record_of(annotation: Any) -> type[Form] | None:
    if isinstance(annotation, type) and issubclass(annotation, Form):
        return annotation
    if get_origin(annotation) in (Union, UnionType):
        for choice in get_args(annotation):
            if choice is not NoneType and (record := _record_of(choice)) is not None:
                return record
    return None
