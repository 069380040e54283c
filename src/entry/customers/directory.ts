/**
The customers of one version of the configuration, and the keys that identify their callers.

Keys are compared by digest, so the configuration that hosts keep and pass on holds no key.
*/
import * as crypto from 'node:crypto';
import type * as types from '../../generated/types.js';

/** A customer whose callers share its keys and its quota. */
export type Customer = types.Customer;

/**
Digest of a key in hexadecimal form.

@example
```
directory.digest('rth5mgjy5rcpihhacrud');
```
*/
export function digest(key: string): string {
	return crypto.createHash('sha256').update(key, 'latin1').digest('hex');
}

/** Finds customers by name and by the digest of a key. */
export class Directory {
	readonly #byName: ReadonlyMap<string, Customer>;
	readonly #byDigest: ReadonlyMap<string, Customer>;

	constructor(customers: readonly Customer[]) {
		this.#byName = new Map(customers.map(customer => [customer.name, customer]));
		this.#byDigest = new Map(customers.flatMap(customer => customer.keyDigests.map(keyDigest => [keyDigest, customer] as const)));
	}

	/** All customers. */
	get customers(): readonly Customer[] {
		return [...this.#byName.values()];
	}

	/** The customer with a name. */
	get(name: string): Customer | undefined {
		return this.#byName.get(name);
	}

	/** The customer that holds the key with a digest. */
	find(keyDigest: string): Customer | undefined {
		return this.#byDigest.get(keyDigest);
	}
}
