"""The registry in which services of a process find each other by name."""

from typing import TypeVar

from peridotpost.model import errors

ServiceT = TypeVar('ServiceT')


class Kernel:
    """Holds the services of one process; knows none of their features."""

    def __init__(self) -> None:
        self.services: dict[str, object] = {}

    def register(self, name: str, service: object) -> None:
        """Make `service` known as `name`.

        :raises PeridotError: the name is taken.
        """
        if name in self.services:
            raise errors.PeridotError(
                f'service {name!r} is registered already; '
                'give the second one another name',
                step='kernel.register',
            )
        self.services[name] = service

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service `name`.

        :raises PeridotError: there is none, or it is not a `kind`.
        """
        service = self.services.get(name)
        if not isinstance(service, kind):
            raise errors.PeridotError(
                f'no service {name!r} of type {kind.__name__}; '
                f'registered are {sorted(self.services)}',
                step='kernel.find',
            )
        return service
