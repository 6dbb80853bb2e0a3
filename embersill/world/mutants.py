"""Mutation testing: generates small changes of a module, one at a time. No I/O.

Fences are chosen by people; mutants cover the lines that nobody thought of. The operators are the usual ones
of mutation testing (Offutt et al. 1996): comparisons shifted or inverted, conditions negated, `and` swapped
with `or`, plus with minus, min with max, numbers changed, statements removed. mutmut and cosmic-ray were
considered: both change files on disk and run one test command per mutant, while schedules that are played in
the modified process decide more in less time.
"""

from __future__ import annotations

import ast
import copy
from collections.abc import Callable, Iterator
from dataclasses import dataclass

COMPARISONS: dict[type[ast.cmpop], type[ast.cmpop]] = {
    ast.Lt: ast.LtE,
    ast.LtE: ast.Lt,
    ast.Gt: ast.GtE,
    ast.GtE: ast.Gt,
    ast.Eq: ast.NotEq,
    ast.NotEq: ast.Eq,
    ast.Is: ast.IsNot,
    ast.IsNot: ast.Is,
    ast.In: ast.NotIn,
    ast.NotIn: ast.In,
}
ARITHMETIC: dict[type[ast.operator], type[ast.operator]] = {
    ast.Add: ast.Sub,
    ast.Sub: ast.Add,
    ast.Mult: ast.Div,
    ast.Div: ast.Mult,
}
BUILTINS = {"min": "max", "max": "min", "any": "all", "all": "any"}


@dataclass(frozen=True)
class Mutant:
    """One change: the node's number in the walk over the tree, its line, and the kind of change."""

    number: int
    line: int
    what: str


Change = tuple[str, Callable[[ast.AST], None]]


def changes(node: ast.AST) -> Iterator[Change]:
    """Yields the possible changes of a node: a name and a function that applies it to a node."""
    if isinstance(node, ast.Compare) and len(node.ops) == 1 and type(node.ops[0]) in COMPARISONS:
        replacement = COMPARISONS[type(node.ops[0])]

        def swap_comparison(target: ast.AST, replacement: type[ast.cmpop] = replacement) -> None:
            assert isinstance(target, ast.Compare)
            target.ops[0] = replacement()

        yield f"{type(node.ops[0]).__name__} to {replacement.__name__}", swap_comparison
    if isinstance(node, ast.BoolOp):

        def swap_connective(target: ast.AST) -> None:
            assert isinstance(target, ast.BoolOp)
            target.op = ast.Or() if isinstance(target.op, ast.And) else ast.And()

        yield "and for or" if isinstance(node.op, ast.Or) else "or for and", swap_connective
    if isinstance(node, ast.BinOp) and type(node.op) in ARITHMETIC:

        def swap_operator(target: ast.AST) -> None:
            assert isinstance(target, ast.BinOp)
            target.op = ARITHMETIC[type(target.op)]()

        yield f"{ARITHMETIC[type(node.op)].__name__} for {type(node.op).__name__}", swap_operator
    if isinstance(node, ast.If | ast.While | ast.IfExp):

        def negate(target: ast.AST) -> None:
            assert isinstance(target, ast.If | ast.While | ast.IfExp)
            target.test = ast.UnaryOp(ast.Not(), target.test)

        yield "condition denied", negate
    if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in BUILTINS:

        def swap_builtin(target: ast.AST) -> None:
            assert isinstance(target, ast.Call) and isinstance(target.func, ast.Name)
            target.func.id = BUILTINS[target.func.id]

        yield f"{BUILTINS[node.func.id]} for {node.func.id}", swap_builtin
    if isinstance(node, ast.Constant) and type(node.value) in (int, float):

        def change_number(target: ast.AST) -> None:
            assert isinstance(target, ast.Constant) and isinstance(target.value, int | float)
            target.value = target.value * 2 + 1

        yield f"{node.value!r} doubled, and one more", change_number
    if isinstance(node, ast.Expr | ast.AugAssign | ast.Delete) and not (
        isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    ):
        yield "left out", lambda target: None


def mutants(source: str) -> list[Mutant]:
    """Returns all mutants of a module, in the order of the walk."""
    return [
        Mutant(number, getattr(node, "lineno", 0), what)
        for number, node in enumerate(ast.walk(ast.parse(source)))
        for what, _ in changes(node)
        if not is_boolean(node)
    ]


def is_boolean(node: ast.AST) -> bool:
    """Whether a node is a Boolean constant, which is not mutated."""
    return isinstance(node, ast.Constant) and isinstance(node.value, bool)


class StatementRemover(ast.NodeTransformer):
    """Replaces one statement by `pass`."""

    def __init__(self, node: ast.AST) -> None:
        self.node = node

    def generic_visit(self, node: ast.AST) -> ast.AST:
        """Replaces the node, or visits its children."""
        return ast.Pass() if node is self.node else super().generic_visit(node)


def mutated(source: str, mutant: Mutant) -> str:
    """Returns the module's source with one change; ValueError if it has no such mutant."""
    tree = ast.parse(source)
    for number, node in enumerate(ast.walk(tree)):
        if number != mutant.number:
            continue
        for what, change in changes(node):
            if what == mutant.what:
                if what == "left out":
                    tree = ast.fix_missing_locations(StatementRemover(node).visit(tree))
                else:
                    change(node)
                return ast.unparse(ast.fix_missing_locations(copy.copy(tree)))
    raise ValueError(f"no such mutant: {mutant}")
