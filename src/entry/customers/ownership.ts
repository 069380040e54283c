/**
Which owners of a service in a region hold the connections of a customer, and how many connections each owner may have.

The owners of a service are the first hosts in rank (`placement.ts`). A small customer has one of them in each region, so
that its few connections are used often; a large one has all of them, so that its load doesn't fall on one host.
*/
import type * as types from '../../generated/types.js';
import * as ownership from '../../core/ownership.js';

/** A customer with the rate that measures its part of the work. */
export type Customer = Pick<types.Customer, 'name' | 'operationsPerS'>;
/** The customers of one version of the configuration. */
export type Directory = {readonly customers: readonly Customer[]};
type Named = {readonly name: string};

/**
Share of all operations from which a customer is large. One below it moves the balance between two owners, each with half
of the region's work, by at most a tenth.
*/
const largeShare = 0.05;
/** Connections that each owner has at least, so that one long statement doesn't hold up all of its customers. */
const minConnections = 2;

/**
Weight of the owners in a server's own region when its connections are divided. They send it most of their reads, the
others only what must run at the primary.
*/
export const nearWeight = 3;

/** The customers of a configuration with their sizes. */
export class Sizes {
	readonly directory: Directory;
	readonly customers: readonly Customer[];
	readonly #large: ReadonlySet<string>;

	constructor(directory: Directory) {
		const {customers} = directory;
		const total = customers.reduce((sum, {operationsPerS}) => sum + operationsPerS, 0);
		this.directory = directory;
		this.customers = customers;
		this.#large = new Set(customers.filter(({operationsPerS}) => operationsPerS >= total * largeShare).map(({name}) => name));
	}

	/** Whether all owners of a region serve the customer in turns. */
	isLarge(customer: string): boolean {
		return this.#large.has(customer);
	}
}

/**
Orders the owners of a service in a region by their rank for a customer.

@example
```
const [owner, next] = customers.rank('ledgers', 'zephyr', owners);
```
*/
export function rank<H extends Named>(service: string, customer: string, owners: readonly H[]): H[] {
	return ownership.rank(`${service} ${customer}`, owners);
}

/** Rate of the operations that each owner in a region runs, if each customer's work comes from all regions alike. */
export function loads(service: string, owners: readonly Named[], sizes: Sizes): Map<string, number> {
	const sums = new Map(owners.map(({name}) => [name, 0]));
	for (const {name: customer, operationsPerS} of sizes.customers) {
		const owning = sizes.isLarge(customer) ? owners : rank(service, customer, owners).slice(0, 1);
		for (const {name} of owning) {
			sums.set(name, (sums.get(name) ?? 0) + (operationsPerS / owning.length));
		}
	}

	return sums;
}

/**
Divides connections to a server among owners by their loads, with a minimum for each. The parts add up to the budget unless
it has less than one connection for each owner.

@example
```
customers.divide(10, new Map([['one', 1], ['two', 3]])); //=> Map {'one' => 3, 'two' => 7}
```
*/
export function divide(budget: number, ownerLoads: ReadonlyMap<string, number>): Map<string, number> {
	const total = [...ownerLoads.values()].reduce((sum, load) => sum + load, 0);
	const minimum = Math.max(1, Math.min(minConnections, Math.floor(budget / ownerLoads.size)));
	const rest = Math.max(0, budget - (minimum * ownerLoads.size));
	const parts = new Map<string, number>();
	let cumulativeLoad = 0;
	let given = 0;
	// Rounding the cumulative sums makes the parts add up to the budget. All hosts use the same order.
	for (const [index, name] of [...ownerLoads.keys()].toSorted().entries()) {
		cumulativeLoad += total > 0 ? (ownerLoads.get(name) ?? 0) / total : 1 / ownerLoads.size;
		const cumulative = index === ownerLoads.size - 1 ? rest : Math.min(rest, Math.round(rest * cumulativeLoad));
		parts.set(name, minimum + cumulative - given);
		given = cumulative;
	}

	return parts;
}
