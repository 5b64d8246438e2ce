"""Policies: constants of the decision modules, replaced for one run."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import importlib

from peridotpost.model import errors

PACKAGE = 'peridotpost.decisions'
AS_BUILT = 'as-built'


class NoSuchConstant(errors.PeridotError):
    """A policy names something that is no constant of a decision."""


@contextlib.contextmanager
def replaced(constants: Mapping[str, float]) -> Iterator[None]:
    """Run with constants replaced; put them back at the end.

    :param constants: by ``module.CONSTANT``.
    :raises NoSuchConstant: before anything is replaced.
    """
    with contextlib.ExitStack() as stack:
        for name in constants:
            stack.enter_context(_one_replaced(name, constants[name]))
        yield


@contextlib.contextmanager
def _one_replaced(name: str, value: float) -> Iterator[None]:
    module_name, _, constant = name.rpartition('.')
    try:
        module = importlib.import_module(f'{PACKAGE}.{module_name}')
        before = getattr(module, constant)
    except (ImportError, AttributeError) as error:
        raise NoSuchConstant(
            f'{name}: no such constant; write module.CONSTANT of {PACKAGE}',
            step='experiment.policy',
        ) from error
    if type(before) not in (int, float) or not constant.isupper():
        raise NoSuchConstant(
            f'{name} is no number that stands for a limit or weight',
            step='experiment.policy',
        )
    setattr(module, constant, type(before)(value))
    try:
        yield
    finally:
        setattr(module, constant, before)
