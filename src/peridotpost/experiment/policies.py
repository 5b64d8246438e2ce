"""Policies: sets of constants of decision modules, overridden for a run."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import importlib

from peridotpost.model import errors

PACKAGE = 'peridotpost.decisions'
AS_BUILT = 'as-built'


class UnknownConstant(errors.PeridotError):
    """A policy names something that is not a constant of a decision module."""


@contextlib.contextmanager
def override_constants(constants: Mapping[str, float]) -> Iterator[None]:
    """Override constants within the context and restore them at its end.

    :param constants: new values by ``module.CONSTANT``.
    :raises UnknownConstant: before anything is replaced.
    """
    with contextlib.ExitStack() as stack:
        for name in constants:
            stack.enter_context(_override_constant(name, constants[name]))
        yield


@contextlib.contextmanager
def _override_constant(name: str, value: float) -> Iterator[None]:
    module_name, _, constant = name.rpartition('.')
    try:
        module = importlib.import_module(f'{PACKAGE}.{module_name}')
        before = getattr(module, constant)
    except (ImportError, AttributeError) as error:
        raise UnknownConstant(
            f'{name}: no such constant; write module.CONSTANT of {PACKAGE}',
            step='experiment.policy',
        ) from error
    if type(before) not in (int, float) or not constant.isupper():
        raise UnknownConstant(
            f'{name} is not a numeric constant (limit or weight)',
            step='experiment.policy',
        )
    setattr(module, constant, type(before)(value))
    try:
        yield
    finally:
        setattr(module, constant, before)
