"""Composition of a node from its policies and components."""

import asyncio

import aioprometheus

from . import defaults
from . import fields
from . import metrics
from . import ports
from . import settings
from . import view
from .decisions import adaptive  # noqa: F401, registers a policy
from .decisions import admission
from .decisions import balanced  # noqa: F401, registers a policy
from .decisions import dissemination
from .decisions import downstream
from .decisions import execution_record
from .decisions import fifo  # noqa: F401, registers a policy
from .decisions import list_age
from .decisions import list_confirmation
from .decisions import loans  # noqa: F401, registers a policy
from .decisions import membership
from .decisions import quarantine
from .decisions import quota
from .decisions import relay_tree
from .decisions import routing
from .decisions import shard_ownership
from .parts import call_tokens
from .parts import control
from .parts import dispatch
from .parts import egress
from .parts import entry
from .parts import gate
from .parts import platform_watch
from .parts import publications


def check_policies(chosen: settings.Policies) -> list[fields.Fault]:
    """Return a fault for each setting that names an unknown policy."""
    known = {
        "admission": admission.policies.names(),
        "routing": routing.policies.names(),
        "quota": quota.policies.names(),
    }
    return [
        fields.Fault(f"/policies/{kind}", f"must be one of {', '.join(names)}")
        for kind, names in known.items()
        if getattr(chosen, kind) not in names
    ]


class Node:
    """A node without its servers, independent of real I/O.

    :param options: the node's settings.
    :param environment: clock, random source, peers, upstream and platform.
    :param current: the configuration and host list, empty at first.
    :param incarnation: distinguishes the node from earlier ones of its host
        and increases with each; usually its start time in milliseconds.
    """

    def __init__(
        self,
        options: settings.Settings,
        environment: ports.Environment,
        current: view.View,
        incarnation: int = 0,
    ) -> None:
        policies = options.policies
        self.settings = options
        self.environment = environment
        self.view = current
        self.metrics = metrics.Metrics(aioprometheus.Registry())
        self.tokens = call_tokens.RunningCalls()
        self.relay = relay_tree.RelayTree(options.host_id, options.place)
        self.membership = membership.Membership(
            options.host_id,
            incarnation,
            self.relay,
            environment.random,
            self._working_hosts_changed,
        )
        self.list_age = list_age.ListAge()
        self.dissemination = dissemination.Dissemination(
            options.host_id,
            self.relay,
            environment.random,
            publications.Publications(self.view),
            self.membership.reachable,
            self.list_age,
        )
        fleet_age_s = environment.clock.wall() - options.fleet_started_s
        fleet_is_new = 0.0 <= fleet_age_s < defaults.FLEET_START_WINDOW_S
        self.list_confirmations = list_confirmation.ListConfirmations(
            environment.random
        )
        self.quota = quota.policies.get(policies.quota)(
            quota.QuotaContext(
                host_id=options.host_id,
                region_id=options.place.region_id,
                incarnation=incarnation
                or int(environment.clock.wall() * 1000),
                list_age=self.list_age,
                list_confirmations=self.list_confirmations,
                random=environment.random,
                wake=self._schedule_quota_poll,
                fresh=fleet_is_new,
            )
        )
        self.routing = routing.policies.get(policies.routing)(
            options.place, environment.random
        )
        self.dispatcher = dispatch.Dispatcher(environment, self.routing)
        downstream_levels = downstream.DownstreamLevels(
            self.routing.route_level
        )
        self.entry = entry.Entry(
            environment, self.view, self.quota, self.dispatcher, self.metrics
        )
        self.egress = egress.Egress(
            environment,
            self.view,
            self.tokens,
            self.dispatcher,
            downstream_levels,
        )
        self.quarantine = quarantine.Quarantine(
            options.host_id, self._service_peers
        )
        self.record = execution_record.ExecutionRecord(
            options.service_id,
            shard_ownership.Ownership(
                options.host_id,
                lambda item: item.service_id == options.service_id,
                self.list_age,
                self.list_confirmations,
                fleet_is_new,
            ),
        )
        self.gate = gate.Gate(
            environment,
            options.place,
            self.view,
            admission.policies.get(policies.admission)(
                admission.Capacity(slots=1, connections=1)
            ),
            self.tokens,
            downstream_levels,
            self.quarantine,
            self.record,
        )
        self.control = control.Control(
            environment, self.view, self.dissemination, self.membership
        )
        self.control.add(self.dissemination)
        self.control.add(self.membership)
        self.control.add(self.quota)
        self.control.add(self.list_confirmations)
        self.control.add(self.quarantine)
        self.control.add_tick_callback(self.gate.tick)
        self.control.add_tick_callback(self._tick_record)
        self.watch = platform_watch.PlatformWatch(
            environment, self.dissemination, self.control.send
        )
        self._add_gauges()
        self.view.subscribe(self)
        self.view.set_confirmation_check(
            self.dissemination.pause_detector.confirmed
        )
        self.view.set_lag_check(lambda: self.dissemination.lagging)

    def configuration_changed(self, now: float) -> None:
        """Apply a newer configuration to all components."""
        version = self.view.configuration
        if version is None:
            return
        self.quota.learn_configuration(version, now)
        self.routing.learn_configuration(version, now)
        self.dispatcher.learn_configuration(version)
        self.gate.configuration_changed()
        service = version.services.get(self.settings.service_id)
        if service is not None:
            self.gate.policy.learn_capacity(
                admission.Capacity(service.slots, service.connections)
            )

    def hosts_changed(self, now: float) -> None:
        """Apply a newer host list to all components."""
        self.relay.learn_hosts(self.view.hosts.hosts)
        self.membership.learn_hosts(self.view.hosts.hosts)
        self.list_confirmations.learn(self.view.hosts.version, now)
        self.quota.learn_hosts(self.view.hosts, now)
        self.record.learn_hosts(self.view.hosts, now)
        self.dispatcher.learn_hosts(self.view.hosts.hosts)
        self._working_hosts_changed(now)

    def _service_peers(self) -> list[str]:
        known = self.view.hosts.of_service(self.settings.service_id)
        own = self.settings.host_id
        return [item.host_id for item in known if item.host_id != own]

    def _add_gauges(self) -> None:
        policy = self.gate.policy
        add = self.metrics.add_gauge
        add(
            "configuration_version",
            "Version of the current configuration.",
            lambda: self.view.version,
        )
        add(
            "gate_running",
            "Requests that the upstream is processing.",
            lambda: policy.running,
        )
        add(
            "gate_waiting",
            "Requests in the gate's queue.",
            lambda: policy.waiting,
        )
        add(
            "gate_limit",
            "Concurrency limit of the gate.",
            lambda: policy.limit,
        )
        add(
            "data_centres_evacuated",
            "Evacuated data centres in the current configuration.",
            lambda: len(self.view.evacuated),
        )
        add(
            "reads_platform",
            "1 while this node reads the platform for its data centre.",
            lambda: int(
                self.dissemination.reading(
                    dissemination.CONFIGURATION, self.environment.clock.now()
                )
            ),
        )
        add(
            "platform_answer_age_seconds",
            "Time since the platform answered this node, inf before that.",
            lambda: self.dissemination.answer_age_s(
                self.environment.clock.now()
            ),
        )
        add(
            "hosts",
            "Hosts in the current host list.",
            lambda: len(self.view.hosts.hosts),
        )

    def _working_hosts_changed(self, now: float) -> None:
        working = self.membership.working()
        self.routing.learn_hosts(working, now)
        self.dispatcher.learn_accepting_hosts(working)

    def _tick_record(self) -> None:
        self.record.tick(self.environment.clock.now())

    def _schedule_quota_poll(self) -> None:
        asyncio.get_running_loop().call_soon(self._poll_quota)

    def _poll_quota(self) -> None:
        now = self.environment.clock.now()
        self.control.send(self.quota.poll(now))
