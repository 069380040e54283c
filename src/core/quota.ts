/**
The quota of connections that a host may hold to each server of a group, and the time from which it may use it.

Each of the three owners has a quarter of the server's connection limit. The last quarter is reserved for a host that
becomes owner before a former owner has released its connections, or that is next in rank and receives requests from
hosts with a different view.
*/
import type * as clock from './clock.js';
import * as ownership from './ownership.js';

/** Ownership of a group by a host: none, waiting for former owners to release their connections, or owner. */
export type Ownership = 'none' | 'settling' | 'owner';

/**
Returns the number of connections that each owner may hold to one server, including the observer's connection.

@example
```
quota.perOwner(16); //=> 4
```
*/
export function perOwner(connectionLimit: number): number {
	return Math.floor(connectionLimit / (ownership.ownerCount + 1));
}

/** State of a host's membership view. Times in ms. */
export type View = {readonly listAgeMs: number; readonly staleMs: number; readonly links: number; readonly isAlone: boolean};

/**
Whether a host may open further connections. A host without a recent host list and without a link to any peer may not,
since other hosts may have become owners of its groups.
*/
export function mayOpen({listAgeMs, staleMs, links, isAlone}: View): boolean {
	return isAlone || links > 0 || listAgeMs <= staleMs;
}

/** Tracks one host's ownership of one group, which decides when it may use its quota. */
export class Quota {
	readonly #clock: clock.Clock;
	readonly #self: string;
	readonly #settleMs: number;
	readonly #releasedAt = new Map<string, number>();
	#owners: readonly string[] = [];
	#formerOwners: readonly string[] = [];
	#ownedSince: number | undefined;
	#isAlone = false;

	constructor(time: clock.Clock, self: string, settleMs: number) {
		this.#clock = time;
		this.#self = self;
		this.#settleMs = settleMs;
	}

	get ownership(): Ownership {
		if (this.#ownedSince === undefined) {
			return 'none';
		}

		const earliestReleaseAt = this.#ownedSince - this.#settleMs;
		const areReleased = this.#formerOwners.length > 0 && this.#formerOwners.every(host => (this.#releasedAt.get(host) ?? Number.NEGATIVE_INFINITY) >= earliestReleaseAt);
		const isSettled = this.#clock.now() - this.#ownedSince >= this.#settleMs;
		return this.#isAlone || areReleased || isSettled ? 'owner' : 'settling';
	}

	/** Applies the owners of the current view. A host that is alone does not wait for former owners. */
	update(owners: readonly string[], isAlone: boolean): void {
		this.#isAlone = isAlone;
		if (!owners.includes(this.#self)) {
			this.#ownedSince = undefined;
			this.#releasedAt.clear();
		} else if (this.#ownedSince === undefined) {
			this.#ownedSince = this.#clock.now();
			this.#formerOwners = this.#owners.filter(host => !owners.includes(host));
		}

		this.#owners = owners;
	}

	/** Records that a former owner has released all its connections. */
	markReleased(host: string): void {
		this.#releasedAt.set(host, this.#clock.now());
	}
}
