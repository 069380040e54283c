/**
Which share of a customer's quota this host counts.

Shares add up to the quota if all hosts have the same view of the announced hosts. While views differ, a host that has
become a counter waits until the hosts that were counters before it have the same view, or until no host can have the
former one any more.
*/
import type * as directories from '../directory.js';
import type * as types from '../../../generated/types.js';
import type * as buckets from './bucket.js';
import * as budget from './budget.js';
import * as counters from './counters.js';

/** Time after which no host has a former view any more: longer than a host is cut off from the others. */
export const viewLifeMs = 15_000;

/** A former view. */
type Former = {readonly view: counters.View; readonly endedAt: number; readonly confirmed: Set<string>};

export type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly bound: types.QuotaBound;
};

/** Follows the views of one host. */
export class Standing {
	readonly #options: Options;
	#view: counters.View | undefined;
	/** Views that other hosts may still have. */
	#former: Former[] = [];

	constructor(options: Options) {
		this.#options = options;
	}

	/** The current view; `undefined` until this host knows the announced hosts. */
	get view(): counters.View | undefined {
		return this.#view;
	}

	/**
	Applies a list of the announced hosts. `isNew` says with the first one whether this host wasn't announced when its process
	started, so that others may not know it.
	*/
	update(hosts: readonly counters.Host[], now: number, isNew = false): void {
		const next = new counters.View(hosts);
		if (next.digest === this.#view?.digest) {
			return;
		}

		const replaced = this.#view ?? (isNew ? new counters.View(hosts.filter(({name}) => name !== this.#options.self)) : undefined);
		this.#view = next;
		// Confirmations are of the view that was current then, which has been replaced.
		this.#former = this.#former.filter(({endedAt}) => now - endedAt < viewLifeMs).map(former => ({...former, confirmed: new Set<string>()}));
		if (replaced) {
			this.#former.push({view: replaced, endedAt: now, confirmed: new Set<string>()});
		}
	}

	/** Records that another host has the view with a digest. Returns whether it is that of this host. */
	confirm(host: string, digest: number): boolean {
		const isEqual = digest === this.#view?.digest;
		if (isEqual) {
			for (const {confirmed} of this.#former) {
				confirmed.add(host);
			}
		}

		return isEqual;
	}

	/** The share that this host counts now; `undefined` if it doesn't count the customer. */
	share(customer: directories.Customer, now: number): buckets.Limits | undefined {
		const {self, bound} = this.#options;
		const count = budget.countCounters(bound, customer);
		const current = this.#view?.counters(customer.name, count) ?? [];
		if (!current.includes(self) || this.awaited([customer], now).length > 0) {
			return undefined;
		}

		// The other counters may still have a former view, in which this host's share is smaller.
		const sizes = this.#formerCounters(customer, now).map(({names}) => names.length);
		return budget.share(bound, customer, Math.max(current.length, ...sizes));
	}

	/** The hosts that may still count customers which this host is to count, and haven't confirmed its view. */
	awaited(customers: readonly directories.Customer[], now: number): string[] {
		const {self, bound} = this.#options;
		const names = customers.flatMap(customer => {
			const isCounter = this.#view?.counters(customer.name, budget.countCounters(bound, customer)).includes(self);
			return isCounter ? this.#formerCounters(customer, now).filter(former => !former.names.includes(self)).flatMap(former => former.unconfirmed) : [];
		});
		return [...new Set(names)];
	}

	/** The counters of former views that may still be in force at one of them. */
	#formerCounters(customer: directories.Customer, now: number): Array<{readonly names: readonly string[]; readonly unconfirmed: readonly string[]}> {
		const {self, bound} = this.#options;
		const count = budget.countCounters(bound, customer);
		return this.#former.filter(({endedAt}) => now - endedAt < viewLifeMs).flatMap(({view, confirmed}) => {
			const names = view.counters(customer.name, count);
			const unconfirmed = names.filter(name => name !== self && !confirmed.has(name));
			return unconfirmed.length > 0 ? [{names, unconfirmed}] : [];
		});
	}
}
