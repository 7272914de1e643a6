"""Parses S-expressions into validated models.

A form `(edge (listen "127.0.0.1:5060") (traffic-type ...) ...)` consists of a name and parts, which become the fields of a
model. A part whose field is a list may be repeated.
"""

from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import sexpdata
from pydantic import BaseModel, ConfigDict, ValidationError


class BadSettingsError(Exception):
    """The errors of a settings file, one line each: file, field and reason."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


class Form(BaseModel):
    """Base of all models. The file has dashes where field names have underscores."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, populate_by_name=True, alias_generator=lambda name: name.replace("_", "-")
    )


def read(path: str | Path, **models: type[Form]) -> Form:
    """Read a file that holds a single form. `models` maps the permitted form names to their models.

    Raises BadSettingsError.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise BadSettingsError([f"{path}: {reason}"]) from None
    return parse(text, str(path), **models)


def parse(text: str, source: str, **models: type[Form]) -> Form:
    """Parse a text as `read` does a file. `source` is its name in error messages. Raises BadSettingsError."""
    code = "\n".join(_strip_comment(line) for line in text.splitlines())
    try:
        forms = sexpdata.parse(code)
    except Exception as error:  # the library raises several types, AssertionError among them
        raise BadSettingsError([f"{source}: no S-expression: {str(error)[:80] or type(error).__name__}"]) from None
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise BadSettingsError([f"{source}: one form in brackets is expected"])
    name = _name(forms[0][0])
    if name not in models:
        raise BadSettingsError([f"{source}: the form is named {name!r}, not {' or '.join(sorted(models))}"])
    errors: list[str] = []
    values = _field_values(models[name], forms[0][1:], f"{source}: {name}", errors)
    if errors:
        raise BadSettingsError(errors)
    try:
        return models[name].model_validate(values)
    except ValidationError as error:
        raise BadSettingsError([_error_line(source, name, details) for details in error.errors()]) from None


def _strip_comment(line: str) -> str:
    quoted = escaped = False
    for index, char in enumerate(line):
        if escaped:
            escaped = False
        elif char == "\\":
            escaped = True
        elif char == '"':
            quoted = not quoted
        elif char == ";" and not quoted:
            return line[:index]
    return line


def _error_line(source: str, name: str, details: Any) -> str:
    path = name
    for part in details["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{str(part).replace('_', '-')}"
    reason = details["msg"].removeprefix("Value error, ")
    return f"{source}: {path}: {reason[:1].lower()}{reason[1:]}"


def _name(atom: Any) -> str:
    return atom.value() if isinstance(atom, sexpdata.Symbol) else str(atom)


def _to_python(atom: Any) -> Any:
    """Symbols become strings, also within lists."""
    if isinstance(atom, sexpdata.Symbol):
        return atom.value()
    if isinstance(atom, list):
        return [_to_python(part) for part in atom]
    return atom


def _field_values(model: type[Form], parts: list[Any], path: str, errors: list[str]) -> dict[str, Any]:
    """The values for the fields of `model`, not yet validated. Lines about unusable parts are added to `errors`."""
    annotations = {(field.alias or name): field.annotation for name, field in model.model_fields.items()}
    values: dict[str, Any] = {}
    for part in parts:
        if not isinstance(part, list) or not part or not isinstance(part[0], sexpdata.Symbol):
            errors.append(f"{path}: {str(_to_python(part))[:40]!r} is no part in brackets")
            continue
        name = part[0].value()
        annotation = annotations.get(name)
        if annotation is None:
            errors.append(f"{path}: {name}: no such part")
            continue
        is_list = get_origin(annotation) is list
        value_type = get_args(annotation)[0] if is_list else annotation
        nested_model = _model_of(value_type)
        if nested_model is not None:
            value: Any = _field_values(nested_model, part[1:], f"{path}.{name}", errors)
        elif is_list:
            values.setdefault(name, []).extend(_to_python(atom) for atom in part[1:])
            continue
        elif len(part) != 2:
            errors.append(f"{path}: {name}: one value is expected")
            continue
        else:
            value = _to_python(part[1])
        if is_list:
            values.setdefault(name, []).append(value)
        elif name in values:
            errors.append(f"{path}: {name}: is given twice")
        else:
            values[name] = value
    return values


def _model_of(annotation: Any) -> type[Form] | None:
    """The model in an annotation `Model` or `Model | None`, otherwise None."""
    if isinstance(annotation, type) and issubclass(annotation, Form):
        return annotation
    if get_origin(annotation) in (Union, UnionType):
        for choice in get_args(annotation):
            if choice is not NoneType and (model := _model_of(choice)) is not None:
                return model
    return None
