/**
What an entry host shows of the services that it owns: where reads were served, how requests were admitted, and the
connections in use.
*/
import type * as metrics from './metrics.js';
import type * as owner from './owner.js';

/**
Adds the gauges of the owned services to the metrics.

@example
```
gauges.register(new metrics.Metrics(), owned);
```
*/
export function register(target: metrics.Metrics, owned: owner.Owner): void {
	const services = (): Array<{name: string; service: NonNullable<ReturnType<owner.Owner['find']>>}> => owned.names.flatMap(name => {
		const service = owned.find(name);
		return service ? [{name, service}] : [];
	});

	target.observe('reads', 'Reads since the start, by where they were served, and those that were too old or hedged', ['service', 'kind'], () =>
		services().flatMap(({name, service}) => Object.entries(service.reader.counts).map(([kind, value]) => ({labels: {service: name, kind}, value}))));
	target.observe('admissions', 'Requests since the start, by how admission ended', ['service', 'kind', 'result'], () =>
		services().flatMap(({name, service}) => (['reads', 'writes'] as const).flatMap(kind =>
			Object.entries(service[kind].counts).map(([result, value]) => ({labels: {service: name, kind, result}, value})))));
	target.observe('retries_denied', 'Repeated attempts that the retry budget denied since the start', ['service'], () =>
		services().map(({name, service}) => ({labels: {service: name}, value: service.retries.denied})));
	target.observe('connections', 'Open connections to backend servers', ['service', 'server'], () =>
		services().flatMap(({name, service}) => [...service.group.servers.keys()].map(server =>
			({labels: {service: name, server}, value: service.group.open(server)}))));
}
