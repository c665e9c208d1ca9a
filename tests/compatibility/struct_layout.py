"""Describes the encoded form of msgspec structs without their class names, to compare it with a fixture.

Tagged arrays carry no names, so a renamed class or field changes no byte. A swap of two fields of one type
does, and a round trip can't show it: hence the names of the fields of the fixed form are kept for positions
alone, see `differences`.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import inspect

Layout = Any  # Plain JSON.


def layout(kind: Any) -> Layout:
    """The types below `kind`, as JSON: scalars by name, structs by tag and fields in their order."""
    return _layout(inspect.type_info(kind))


def _layout(one: inspect.Type) -> Layout:
    if isinstance(one, inspect.Metadata):
        return _layout(one.type)
    if isinstance(one, inspect.StructType):
        return {
            "form": "array" if one.array_like else "map",
            "tag": one.tag,
            "fields": [_field(field, one.array_like) for field in one.fields],
        }
    if isinstance(one, inspect.UnionType):
        return {"any of": sorted((_layout(each) for each in one.types), key=_order)}
    if isinstance(one, inspect.EnumType):
        return {"enum": sorted((member.value for member in one.cls), key=str)}
    if isinstance(one, inspect.TupleType):
        return {"tuple": [_layout(each) for each in one.item_types]}
    if isinstance(one, inspect.NamedTupleType):  # Encoded as a tuple: an array without names.
        return {"tuple": [_layout(field.type) for field in one.fields]}
    if isinstance(one, inspect.VarTupleType | inspect.ListType):
        return {"many": _layout(one.item_type)}
    if isinstance(one, inspect.DictType):
        return {"dict": [_layout(one.key_type), _layout(one.value_type)]}
    return type(one).__name__.removesuffix("Type").lower()


def _order(one: Layout) -> str:
    """Structs by their tags, so that names have no part in it."""
    return f"struct {one['tag']!r:>20}" if isinstance(one, dict) and "tag" in one else str(one)


def _field(field: inspect.Field, array_like: bool) -> Layout:
    """Of a map its key; of an array the attribute's name, which is not encoded."""
    found: dict[str, Any] = {
        "name" if array_like else "key": field.name if array_like else field.encode_name,
        "type": _layout(field.type),
    }
    if not field.required:
        if field.default is not inspect.NODEFAULT:
            found["default"] = _plain(field.default)
        else:
            found["default"] = {"made": _plain(field.default_factory())}  # type: ignore[misc]
    return found


def _plain(value: Any) -> Any:
    """As JSON has it: a tuple as a list."""
    return msgspec.json.decode(msgspec.json.encode(value))


def differences(fixed: Layout, now: Layout, at: str = "") -> list[str]:
    """Where the form of now is another one than that of the fixture; none if all bytes stay the same.

    Names of an array's fields may change. But a name that both have must be at one place in both: else two
    fields were swapped. (Not found: fields of one type swapped and both renamed in one step.)
    """
    if isinstance(fixed, dict) and isinstance(now, dict) and fixed.keys() == now.keys():
        found = []
        for key in fixed:
            if key == "fields":
                found += _moved(fixed[key], now[key], at)
            if key != "name":
                found += differences(fixed[key], now[key], f"{at}.{key}")
        return found
    if isinstance(fixed, list) and isinstance(now, list) and len(fixed) == len(now):
        return [
            one
            for number, (old, new) in enumerate(zip(fixed, now, strict=True))
            for one in differences(old, new, f"{at}[{number}]")
        ]
    return [] if fixed == now else [f"{at}: {fixed!r} became {now!r}"]


def _moved(fixed: list[Layout], now: list[Layout], at: str) -> list[str]:
    places = {field["name"]: number for number, field in enumerate(fixed) if "name" in field}
    return [
        f"{at}: field {field['name']!r} went from place {places[field['name']]} to {number}"
        for number, field in enumerate(now)
        if places.get(field.get("name"), number) != number
    ]


def example(kind: Any, whole: bool = True) -> list[Any]:
    """One value for each struct of a union (else one), with distinct fields, numbers rising.

    `whole`: none is at its default; else those that have one are left at it, all the way down.
    """
    counter = iter(range(1, 1 << 30))
    one = inspect.type_info(kind)
    kinds = one.types if isinstance(one, inspect.UnionType) else (one,)
    return [_example(each, counter, "", whole) for each in kinds]


def _example(one: inspect.Type, counter: Any, name: str, whole: bool) -> Any:
    def below(each: inspect.Type) -> Any:
        return _example(each, counter, name, whole)

    number = next(counter)
    match one:
        case inspect.Metadata():
            return below(one.type)
        case inspect.StructType():
            fields = [each for each in one.fields if whole or each.required]
            return one.cls(**{each.name: _example(each.type, counter, each.name, whole) for each in fields})
        case inspect.UnionType():
            return below(next(each for each in one.types if not isinstance(each, inspect.NoneType)))
        case inspect.EnumType():
            return list(one.cls)[-1]
        case inspect.TupleType():
            return tuple([below(each) for each in one.item_types])
        case inspect.VarTupleType():
            return (below(one.item_type), below(one.item_type))
        case inspect.ListType():
            return [below(one.item_type), below(one.item_type)]
        case inspect.DictType():
            return {below(one.key_type): below(one.value_type) for _ in range(2)}
        case inspect.IntType():
            return 3 * number
        case inspect.FloatType():
            return number + 0.25
        case inspect.BoolType():
            return True
        case inspect.BytesType():
            return b"%s-%d" % (name.encode(), number)
        case inspect.AnyType():
            return {"any": number}
        case inspect.StrType():
            return f"{name}-{number}"
    raise TypeError(one)


def tags(kind: Any) -> set[str]:
    """Those of the structs of a union, "-" for one without."""
    one = inspect.type_info(kind)
    kinds = one.types if isinstance(one, inspect.UnionType) else (one,)
    found = [getattr(each, "tag", None) for each in kinds]
    return {"-" if tag is None else str(tag) for tag in found}
