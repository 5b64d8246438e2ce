"""Registry through which the services of a process find each other."""

from typing import TypeVar

from peridotpost.model import errors

ServiceT = TypeVar('ServiceT')


class ServiceRegistry:
    """Maps names to the services of one process."""

    def __init__(self) -> None:
        self.services: dict[str, object] = {}

    def register(self, name: str, service: object) -> None:
        """Register `service` as `name`.

        :raises PeridotError: the name is already registered.
        """
        if name in self.services:
            raise errors.PeridotError(
                f'service {name!r} is already registered; '
                'use another name for the second one',
                step='kernel.register',
            )
        self.services[name] = service

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service `name`.

        :raises PeridotError: it is not registered or not of type `kind`.
        """
        service = self.services.get(name)
        if not isinstance(service, kind):
            raise errors.PeridotError(
                f'no service {name!r} of type {kind.__name__}; '
                f'registered services: {sorted(self.services)}',
                step='kernel.find',
            )
        return service
