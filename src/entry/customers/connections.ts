/**
Connections of a host by customer, for its metrics. The largest customers have their names as labels, and the others share
one, so that the number of samples is bounded.
*/
import type * as pool from '../../core/pool.js';
import type * as metrics from '../../host/metrics.js';
import type * as ownership from './ownership.js';

/** Number of customers with a label of their own. */
const maxNamed = 10;
/** Labels of the other customers, and of connections in the proxy's own name. No customer is named so, since names contain no space. */
const otherLabel = 'all others';
const ownLabel = 'no customer';

/**
Sums up the use of pools by label.

@example
```
const usage = connections.summarize(pools, deployment.customers);
```
*/
export function summarize(pools: ReadonlyArray<Pick<pool.Pool<never>, 'usage'>>, directory: ownership.Directory): Map<string, pool.Usage> {
	const largest = directory.customers.toSorted((one, other) => other.operationsPerS - one.operationsPerS).slice(0, maxNamed);
	const named = new Set(largest.map(({name}) => name));
	const sums = new Map<string, pool.Usage>();
	for (const [customer, usage] of pools.flatMap(({usage: uses}) => [...uses])) {
		const fallback = customer === undefined ? ownLabel : otherLabel;
		const label = customer !== undefined && named.has(customer) ? customer : fallback;
		const sum = sums.get(label) ?? {
			open: 0, opened: 0, evicted: 0, waiting: 0,
		};
		sums.set(label, {
			open: sum.open + usage.open, opened: sum.opened + usage.opened, evicted: sum.evicted + usage.evicted, waiting: sum.waiting + usage.waiting,
		});
	}

	return sums;
}

/** Adds the gauges of a host's connections by customer to its metrics. */
export function register(target: metrics.Metrics, read: () => ReadonlyMap<string, pool.Usage>): void {
	const add = (kind: keyof pool.Usage, name: string, help: string): void => {
		target.addGauge(name, help, ['customer'], () => [...read()].map(([customer, usage]) => ({labels: {customer}, value: usage[kind]})));
	};

	add('open', 'customer_connections', 'Open connections to backend servers, by the customer that they were opened for');
	add('opened', 'customer_connections_opened', 'Connections opened to the present backend servers, by customer');
	add('evicted', 'customer_connections_evicted', 'Connections closed to open one for another customer, by the customer that lost it');
	add('waiting', 'customer_requests_waiting', 'Requests that wait for a connection, by customer');
}
