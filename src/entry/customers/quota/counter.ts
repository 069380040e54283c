/**
Counts the operations of the customers whose quota this host has a share of.
*/
import type * as clock from '../../../core/clock.js';
import type * as decisions from '../../decisions.js';
import type * as directories from '../directory.js';
import * as buckets from './bucket.js';
import type * as standings from './standing.js';

/** Operations that a host may run, or the time after which it may ask again if there are none. */
export type Grant = {readonly granted: number; readonly retryAfterMs: number};

/** The time after which a host that doesn't count a customer is asked again. */
const notCountingMs = 1000;

export type Options = {
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	readonly standing: standings.Standing;
};

/** Grants operations from this host's shares. */
export class Counter {
	readonly #options: Options;
	readonly #buckets = new Map<string, buckets.Bucket>();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Applies the customers of a version of the configuration, and this host's shares of them. */
	update(customers: readonly directories.Customer[]): void {
		const {clock: time, standing, decisions: log} = this.#options;
		const now = time.now();
		const before = this.#buckets.size;
		const wanted = new Set<string>();
		for (const customer of customers) {
			const share = standing.share(customer, now);
			if (share) {
				wanted.add(customer.name);
				this.#apply(customer.name, share, now);
			}
		}

		for (const name of this.#buckets.keys()) {
			if (!wanted.has(name)) {
				this.#buckets.delete(name);
			}
		}

		if (before !== this.#buckets.size) {
			log.record(this.#buckets.size === 0 ? 'quota-counting-stopped' : 'quota-counting', {customers: this.#buckets.size, before});
		}
	}

	/** Grants up to `wanted` operations of a customer. */
	take(name: string, wanted: number): Grant {
		const bucket = this.#buckets.get(name);
		if (!bucket) {
			return {granted: 0, retryAfterMs: notCountingMs};
		}

		const now = this.#options.clock.now();
		const granted = bucket.take(wanted, now);
		return {granted, retryAfterMs: granted > 0 ? 0 : Math.ceil(Math.min(bucket.waitMs(now), notCountingMs))};
	}

	#apply(name: string, share: buckets.Limits, now: number): void {
		const bucket = this.#buckets.get(name);
		if (bucket) {
			bucket.resize(share, now);
		} else {
			this.#buckets.set(name, new buckets.Bucket(share, now));
		}
	}
}
