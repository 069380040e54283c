/**
Selects the customers of a configuration from its entries. An invalid entry is left out with the reason, so that it doesn't
stop the others. Reasons name customers, never keys.
*/
import type * as directories from './directory.js';

/** A read entry. Without a customer it is invalid, and its keys, if it has any, still count as held by another one. */
export type Entry = {
	/** Name for reasons; empty if the entry has no text for a name. */
	readonly name: string;
	readonly customer: directories.Customer | undefined;
	readonly keyDigests: readonly string[];
	/** Why the entry, or a part of it, is invalid. */
	readonly faults: readonly string[];
};

/** The customers, and what was left out. */
export type Selection = {readonly customers: readonly directories.Customer[]; readonly omitted: readonly string[]};

/** Connections to servers that belong to no customer have this name, so no customer may. */
export const reservedName = 'sycamorering';

/** Number of reasons that are given one by one. */
const maxReasons = 100;

/**
Selects customers. Of several with the same name the first holds. A key that is listed under several names serves none.

@example
```
const {customers, omitted} = entries.select(read);
```
*/
export function select(read: readonly Entry[]): Selection {
	const customers = new Map<string, directories.Customer>();
	const reasons = read.flatMap(entry => entry.faults.map(fault => `${describe(entry)}: ${fault}`));
	const shared = findShared(read);
	for (const entry of read) {
		const {customer} = entry;
		if (!customer) {
			continue;
		}

		const usable = customer.keyDigests.filter(keyDigest => !shared.has(keyDigest));
		if (customers.has(customer.name)) {
			reasons.push(`${describe(entry)}: an earlier entry has the same name`);
			continue;
		}

		if (usable.length < customer.keyDigests.length) {
			const others = [...new Set(customer.keyDigests.flatMap(keyDigest => shared.get(keyDigest) ?? []))].filter(name => name !== customer.name);
			reasons.push(`${describe(entry)}: ${customer.keyDigests.length - usable.length} of its keys, also listed under ${others.map(name => quote(name)).join(', ')}, serve neither`);
		}

		customers.set(customer.name, {...customer, keyDigests: usable});
	}

	return {customers: [...customers.values()], omitted: limit(reasons)};
}

/** Names under which a key is listed, by the digests of the keys that are listed under several. */
function findShared(read: readonly Entry[]): ReadonlyMap<string, readonly string[]> {
	const names = new Map<string, Set<string>>();
	for (const {name, keyDigests} of read) {
		for (const keyDigest of keyDigests) {
			names.set(keyDigest, (names.get(keyDigest) ?? new Set()).add(name));
		}
	}

	return new Map([...names].filter(([, holders]) => holders.size > 1).map(([keyDigest, holders]) => [keyDigest, [...holders]]));
}

function limit(reasons: readonly string[]): readonly string[] {
	return reasons.length > maxReasons ? [...reasons.slice(0, maxReasons), `${reasons.length - maxReasons} further faults`] : reasons;
}

function describe({name}: Entry): string {
	return name === '' ? 'customer without a name' : `customer ${quote(name)}`;
}

/** Longest part of a name in a reason. */
const maxNameLength = 64;

function quote(name: string): string {
	return JSON.stringify(name.length > maxNameLength ? `${name.slice(0, maxNameLength)}...` : name);
}
