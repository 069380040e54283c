/**
Gauges of the owned services: where reads were served, results of admission, denied retries and open connections.
*/
import type * as metrics from './metrics.js';
import type * as owner from './owner.js';

/**
Adds the gauges of the owned services to the metrics.

@example
```
gauges.register(hostMetrics, owner);
```
*/
export function register(target: metrics.Metrics, localOwner: owner.Owner): void {
	const services = (): Array<{name: string; service: NonNullable<ReturnType<owner.Owner['find']>>}> => localOwner.names.flatMap(name => {
		const service = localOwner.find(name);
		return service ? [{name, service}] : [];
	});

	target.addGauge('reads', 'Reads since the start, by the role of the server that served them; also stale responses and hedged reads', ['service', 'kind'], () =>
		services().flatMap(({name, service}) => Object.entries(service.reader.counts).map(([kind, value]) => ({labels: {service: name, kind}, value}))));
	target.addGauge('admissions', 'Requests since the start, by the result of admission', ['service', 'kind', 'result'], () =>
		services().flatMap(({name, service}) => (['reads', 'writes'] as const).flatMap(kind =>
			Object.entries(service[kind].counts).map(([result, value]) => ({labels: {service: name, kind, result}, value})))));
	target.addGauge('retries_denied', 'Retries that the retry budget denied since the start', ['service'], () =>
		services().map(({name, service}) => ({labels: {service: name}, value: service.retries.denied})));
	target.addGauge('connections', 'Open connections to backend servers', ['service', 'server'], () =>
		services().flatMap(({name, service}) => [...service.group.servers.keys()].map(server =>
			({labels: {service: name, server}, value: service.group.openConnections(server)}))));
}
