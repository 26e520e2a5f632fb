"""Collects the names that leave the process: on the wire, on disk, in logs and settings.

``python -m tests.support.outer_names`` prints the list that ``outer_names.txt`` holds,
with ``--check`` the names on the list that the code no longer writes out. Whoever rewords the code
leaves these names as they are, letter for letter. A name is collected where the code writes it out:

- keys: dictionary keys, subscripts, ``get`` and its kin, names that ``in`` looks for;
- fields, tags and outer names of msgspec structs, and the class's name where it is the
  tag; fields of the classes in ``WRITTEN_CLASSES``;
- values of enums, tables of words in upper-case constants;
- ``extra`` keys, logger names and events of JSON log lines;
- flags and subcommands, environment variables, metrics, HTTP headers and paths, names of
  files;
- keys of the deploy file, and the log lines that ``docs/operations.md`` quotes.
"""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIST = Path(__file__).with_name("outer_names.txt")

NAME = re.compile(r"-{0,2}[A-Za-z_][A-Za-z0-9_.+-]*\Z")
PATH = re.compile(r"/[A-Za-z_][A-Za-z0-9_/.-]*\Z")
FILE_NAME = re.compile(r"[A-Za-z_.][\w.-]*\.(json|jsonl|log|toml|sock|damaged|new)\Z")
VARIABLE = re.compile(r"(LB|RAINFALL)_[A-Z_]+\Z")
NUMBER = re.compile(r"\b(N|\d+)\b")
QUOTED = re.compile(r"`([^`]+)`")
KEY_METHODS = {"get", "pop", "setdefault", "require_field", "getattr"}
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
NAMING_CALLS = {"add_argument", "add_parser", "getLogger", "MetricDefinition"}

WRITTEN_CLASSES = {"Limits", "ClassTally", "Metrics"}
"""Classes other than structs whose fields are written out or read under their own names."""

COMPARISON = "## Log lines of before and now"
"""The last section of ``docs/operations.md``; lines there are quoted to compare them."""


def sources() -> list[Path]:
    """The program's files, without its tests and measurements."""
    return sorted((ROOT / "rainfall").rglob("*.py"))


def texts(node: ast.AST | None) -> Iterator[str]:
    """The string constants below a node."""
    for child in ast.walk(node) if node is not None else ():
        if isinstance(child, ast.Constant) and isinstance(child.value, str):
            yield child.value


def own_texts(nodes: list[ast.expr | None]) -> Iterator[str]:
    """The nodes that are string constants themselves."""
    for node in nodes:
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


def called_name(call: ast.Call) -> str:
    """The last part of the name of what is called."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def base_names(node: ast.ClassDef) -> set[str]:
    """The last part of the name of each base class."""
    return {ast.unparse(base).rpartition(".")[2] for base in node.bases}


def classes_below(roots: set[str], trees: list[ast.Module]) -> set[str]:
    """The names of the classes that derive from some classes, also at second hand."""
    found = set(roots)
    while True:
        more = {
            node.name
            for tree in trees
            for node in ast.walk(tree)
            if isinstance(node, ast.ClassDef) and base_names(node) & found
        }
        if more <= found:
            return found - roots
        found |= more


def is_tagged_by_name(node: ast.ClassDef) -> bool:
    """Whether a struct's tag is the name of its class."""
    return any(
        keyword.arg == "tag"
        and isinstance(keyword.value, ast.Constant)
        and keyword.value.value is True
        for keyword in node.keywords
    )


def tagged_classes(trees: list[ast.Module]) -> set[str]:
    """The names of the structs whose tag is the name of their class."""
    roots = {
        node.name
        for tree in trees
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef) and is_tagged_by_name(node)
    }
    return roots | classes_below(roots, trees)


def fields_of(node: ast.ClassDef) -> Iterator[str]:
    """The annotated fields of a class."""
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(
            statement.target, ast.Name
        ):
            yield statement.target.id


def names_of_class(node: ast.ClassDef, written: set[str]) -> Iterator[str]:
    """The names that a class writes out."""
    bases = base_names(node)
    if node.name in written or "TypedDict" in bases:
        yield from fields_of(node)
        for keyword in node.keywords:
            yield from texts(keyword.value)
    if bases & {"Enum", "StrEnum"}:
        for statement in node.body:
            if isinstance(statement, ast.Assign):
                yield from texts(statement.value)


def names_of_call(call: ast.Call) -> Iterator[str]:
    """The names that a call writes out."""
    name = called_name(call)
    if name in KEY_METHODS:
        yield from own_texts(list(call.args[:2]))
    if name in NAMING_CALLS:
        yield from own_texts(list(call.args))
    if name in LOG_METHODS:
        yield from (t for t in own_texts(list(call.args[:1])) if NAME.match(t))
    if name == "dict":
        yield from (k.arg for k in call.keywords if k.arg)


def names_of_node(node: ast.AST, written: set[str]) -> Iterator[str]:
    """The names that one node of a syntax tree writes out."""
    if isinstance(node, ast.ClassDef):
        yield from names_of_class(node, written)
    elif isinstance(node, ast.Call):
        yield from names_of_call(node)
    elif isinstance(node, ast.Dict):
        yield from own_texts(node.keys)
    elif isinstance(node, ast.Subscript):
        yield from own_texts([node.slice])
    elif isinstance(node, ast.Compare):
        yield from own_texts([node.left])
        yield from (t for c in node.comparators for t in own_texts([c]))
    elif isinstance(node, ast.Assign | ast.AnnAssign):
        targets = node.targets if isinstance(node, ast.Assign) else [node.target]
        if any(isinstance(t, ast.Name) and t.id.isupper() for t in targets):
            yield from texts(node.value)


def written_anywhere(tree: ast.Module) -> Iterator[str]:
    """Paths, files and variables, wherever they stand."""
    for text in texts(tree):
        if PATH.match(text) or FILE_NAME.match(text) or VARIABLE.match(text):
            yield text


def log_lines(trees: list[ast.Module]) -> Iterator[str]:
    """The messages of all calls that log a line or print one."""
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Call):
                yield from texts(node)


def quoted_log_lines(trees: list[ast.Module]) -> set[str]:
    """The parts of log lines that the operators' page quotes."""
    page = (ROOT / "docs/operations.md").read_text().partition(COMPARISON)[0]
    quotes = {
        NUMBER.sub("%d", quote.rstrip(". "))
        for quote in QUOTED.findall(page)
        if " " in quote
    }
    lines = set(log_lines(trees))
    return {q for q in quotes if any(q in line for line in lines)}


def keys_of(table: object) -> Iterator[str]:
    """The keys of a document, at every depth."""
    if isinstance(table, dict):
        for key, value in table.items():
            yield key
            yield from keys_of(value)


def collect() -> list[str]:
    """All names and log lines, sorted."""
    trees = [ast.parse(path.read_text()) for path in sources()]
    written = classes_below({"Struct"}, trees) | WRITTEN_CLASSES
    names = {
        name
        for tree in trees
        for node in ast.walk(tree)
        for name in names_of_node(node, written)
        if NAME.match(name)
    }
    names |= {name for tree in trees for name in written_anywhere(tree)}
    names |= tagged_classes(trees)
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    names |= set(keys_of(deploy))
    return sorted(names | quoted_log_lines(trees))


def missing() -> list[str]:
    """The names on the list that the code no longer writes out."""
    found = set(collect())
    return [name for name in LIST.read_text().splitlines() if name not in found]


def main() -> None:
    """Print the names, or with ``--check`` those that are missing."""
    if "--check" in sys.argv:
        gone = missing()
        print(*gone, f"{len(gone)} missing", sep="\n")
    else:
        print(*collect(), sep="\n")


if __name__ == "__main__":
    main()
