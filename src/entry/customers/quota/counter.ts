/**
Counts the operations of the customers whose quota this host has a share of.
*/
import type * as types from '../../../generated/types.js';
import type * as clock from '../../../core/clock.js';
import type * as decisions from '../../decisions.js';
import type * as directories from '../directory.js';
import * as buckets from './bucket.js';
import * as budget from './budget.js';
import type * as standings from './standing.js';

/** Operations that a host may run, or the time after which it may ask again if there are none. */
export type Grant = {readonly granted: number; readonly retryAfterMs: number};

/** The time after which a host that doesn't count a customer is asked again. */
const notCountingMs = 1000;

type Counted = {readonly bucket: buckets.Bucket; share: budget.Share; isInitialDue: boolean; readonly initialAt: number};

export type Options = {
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	readonly bound: types.QuotaBound;
	readonly standing: standings.Standing;
};

/** Grants operations from this host's shares. */
export class Counter {
	readonly #options: Options;
	readonly #counted = new Map<string, Counted>();
	/** Names of all customers of the last version of the configuration. */
	#known = new Set<string>();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Applies the customers of a version of the configuration, and this host's shares of them. */
	update(customers: readonly directories.Customer[]): void {
		const {clock: time, standing, decisions: log} = this.#options;
		const now = time.now();
		const before = this.#counted.size;
		const wanted = new Set<string>();
		for (const customer of customers) {
			const share = standing.share(customer, now);
			if (share) {
				wanted.add(customer.name);
				this.#apply(customer.name, share, now);
			}
		}

		for (const name of this.#counted.keys()) {
			if (!wanted.has(name)) {
				this.#counted.delete(name);
			}
		}

		this.#known = new Set(customers.map(({name}) => name));
		if (before !== this.#counted.size) {
			log.record(this.#counted.size === 0 ? 'quota-counting-stopped' : 'quota-counting', {customers: this.#counted.size, before});
		}
	}

	/** Grants up to `wanted` operations of a customer. */
	take(name: string, wanted: number): Grant {
		const counted = this.#counted.get(name);
		if (!counted) {
			return {granted: 0, retryAfterMs: notCountingMs};
		}

		const now = this.#options.clock.now();
		this.#addInitial(counted, now);
		const granted = counted.bucket.take(wanted, now);
		const waitMs = Math.min(counted.bucket.waitMs(now), counted.isInitialDue ? Math.max(0, counted.initialAt - now) : Number.POSITIVE_INFINITY);
		return {granted, retryAfterMs: granted > 0 ? 0 : Math.ceil(Math.min(waitMs, notCountingMs))};
	}

	#apply(name: string, share: budget.Share, now: number): void {
		const counted = this.#counted.get(name);
		if (counted) {
			this.#addInitial(counted, now);
			counted.bucket.resize(share, now);
			counted.share = share;
			return;
		}

		// No host has counted a customer that the configuration has just added.
		const isAdded = this.#known.size > 0 && !this.#known.has(name);
		this.#counted.set(name, {
			bucket: new buckets.Bucket(share, now), share, isInitialDue: true, initialAt: isAdded ? now : now + budget.initialDelayMs(this.#options.bound),
		});
	}

	/** Adds the initial operations once they are due, see `budget.initialDelayMs`. */
	#addInitial(counted: Counted, now: number): void {
		if (counted.isInitialDue && now >= counted.initialAt) {
			counted.isInitialDue = false;
			counted.bucket.add(counted.share.initial, now);
		}
	}
}
