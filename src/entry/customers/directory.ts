/**
The customers of one version of the configuration, and the keys that identify their callers.

Keys are compared by digest, so the configuration that hosts keep and pass on holds no key.
*/
import * as crypto from 'node:crypto';
import type * as types from '../../generated/types.js';

/** A customer whose callers share its keys and its quota. */
export type Customer = types.Customer;

/** Longest key in bytes. Keys have a few hundred bytes at most; a longer one is not worth the time of its digest. */
export const maxKeyBytes = 4096;

/** Digest that belongs to no key. */
const noDigest = '';

/**
Digest of a key in hexadecimal form. `key` has one character for each byte, as it was received. The digest of an empty or
too long key is empty, and belongs to no customer.

@example
```
directory.digest('rth5mgjy5rcpihhacrud');
```
*/
export function digest(key: string): string {
	return key === '' || key.length > maxKeyBytes ? noDigest : crypto.createHash('sha256').update(key, 'latin1').digest('hex');
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
		return keyDigest === noDigest ? undefined : this.#byDigest.get(keyDigest);
	}
}
