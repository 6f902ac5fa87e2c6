"""Reads declarations from YAML files."""

import pathlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import yaml

from wheelslip.operators.declarations import (
    Declaration,
    DeclarationProblem,
    check_spec,
    problem_from_error,
)


class DeclarationsInvalid(Exception):
    """Raised when declarations are invalid.

    :ivar problems: all validation errors, in the order of files and documents.
    """

    def __init__(self, problems: list[DeclarationProblem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True)
class _LocatedDocument:
    place: str
    document: object


def read_declarations(path: str) -> dict[str, dict[str, object]]:
    """Read a YAML file, or all ``*.yaml`` files of a folder in name order.

    :return: specs by object key.
    :raises DeclarationsInvalid: with all validation errors.
    """
    problems: list[DeclarationProblem] = []
    objects: dict[str, dict[str, object]] = {}
    places: dict[str, str] = {}
    for located in _documents(path, problems):
        try:
            declaration = msgspec.convert(located.document, Declaration)
        except msgspec.ValidationError as error:
            problems.append(problem_from_error(located.place, error))
            continue
        key = str(declaration.key)
        if key in places:
            reason = f"{key} is declared before, in {places[key]}"
            problems.append(DeclarationProblem(located.place, "metadata.name", reason))
            continue
        places[key] = located.place
        try:
            check_spec(declaration.kind, declaration.spec)
        except msgspec.ValidationError as error:
            problems.append(problem_from_error(located.place, error, "spec"))
            continue
        objects[key] = declaration.spec
    if problems:
        raise DeclarationsInvalid(problems)
    return objects


def _documents(path: str, problems: list[DeclarationProblem]) -> Iterator[_LocatedDocument]:
    """Yield the YAML documents; files that cannot be read are appended to ``problems``."""
    root = pathlib.Path(path)
    files = sorted(root.glob("*.yaml")) if root.is_dir() else [root]
    if not files:
        problems.append(DeclarationProblem(path, "(folder)", "contains no *.yaml file"))
    for file in files:
        try:
            documents = list(yaml.safe_load_all(file.read_text()))
        except OSError as error:
            problems.append(DeclarationProblem(str(file), "(file)", str(error.strerror)))
            continue
        except (yaml.YAMLError, UnicodeDecodeError) as error:
            reason = " ".join(str(error).split())
            problems.append(DeclarationProblem(str(file), "(file)", f"is not YAML: {reason}"))
            continue
        for position, document in enumerate(documents, start=1):
            if document is not None:
                yield _LocatedDocument(f"{file} document {position}", document)
