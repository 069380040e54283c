/**
Quotas on one host: what it counts for all hosts, and what it leases from the hosts that count.
*/
import type * as types from '../../../generated/types.js';
import type * as clock from '../../../core/clock.js';
import * as notifier from '../../../core/notifier.js';
import * as ownership from '../../../core/ownership.js';
import type * as decisions from '../../decisions.js';
import type * as directories from '../directory.js';
import * as counter from './counter.js';
import * as counters from './counters.js';
import * as leasing from './leasing.js';
import * as budget from './budget.js';
import * as sources from './source.js';
import * as standings from './standing.js';

/** Creates the source that asks another host. `confirm` is told which view of the hosts each answer is based on. */
export type Reach = (name: string, distance: counters.Distance, confirm: (host: string, view: number) => void) => sources.Source | undefined;

export type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	readonly bound: types.QuotaBound;
	/** Returns another host as a source of operations; `undefined` if it can't be reached yet. */
	readonly reach: Reach;
};

/** Interval at which hosts that may still count are asked for their views, and time for an answer. */
const confirmIntervalMs = 100;
const confirmTimeoutMs = 100;
/** Interval at which shares are computed again without an event, since former views end by time. */
const refreshIntervalMs = 1000;

/** The quotas of all customers on one host. */
export class Quotas {
	readonly limiter: leasing.Leasing;
	readonly #options: Options;
	readonly #standing: standings.Standing;
	readonly #counter: counter.Counter;
	readonly #local: sources.Local;
	readonly #changed = new notifier.Notifier();
	readonly #sources = new Map<string, readonly sources.Source[]>();
	#customers: readonly directories.Customer[] = [];
	/** Whether this host was announced when its process started; `undefined` until it has a list. */
	#wasAnnounced: boolean | undefined;

	constructor(options: Options) {
		this.#options = options;
		this.#standing = new standings.Standing(options);
		this.#counter = new counter.Counter({...options, standing: this.#standing});
		this.#local = new sources.Local(options.self, this.#counter);
		this.limiter = new leasing.Leasing({...options, sources: customer => this.#find(customer)});
	}

	/** Applies the customers of a version of the configuration. */
	updateCustomers(customers: readonly directories.Customer[]): void {
		this.#customers = customers;
		this.limiter.retain(customers);
		this.#refresh();
	}

	/** Applies a list of the announced hosts. This host counts only once it is on the list, since others may not know it before. */
	updateHosts(hosts: readonly counters.Host[]): void {
		const isAnnounced = hosts.some(({name}) => name === this.#options.self);
		this.#wasAnnounced ??= isAnnounced;
		if (isAnnounced) {
			this.#standing.update(hosts, this.#options.clock.now(), !this.#wasAnnounced);
			this.#refresh();
		}
	}

	/** Answers the request of another host. */
	answer({id, customer, count}: types.QuotaRequest): types.QuotaGrant {
		return {
			kind: 'quota-grant', id, ...this.#counter.take(customer, count), view: this.#standing.view?.digest ?? 0,
		};
	}

	/** Takes over shares once no other host may count them, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time} = this.#options;
		while (!signal.aborted) {
			const awaited = this.#standing.awaited(this.#customers, time.now());
			if (awaited.length === 0) {
				await time.limit(this.#changed.next(), refreshIntervalMs);
			} else {
				await Promise.all(awaited.map(async name => this.#askView(name)));
				await time.sleep(confirmIntervalMs, signal);
			}

			this.#refresh();
		}
	}

	async #askView(name: string): Promise<void> {
		await this.#options.reach(name, 'other region', this.#confirm)?.request('', 0, confirmTimeoutMs);
	}

	readonly #confirm = (host: string, view: number): void => {
		this.#standing.confirm(host, view);
	};

	#refresh(): void {
		this.#sources.clear();
		this.#counter.update(this.#customers);
		this.#changed.notify();
	}

	/** The counters of a customer, nearest first, and in an order of each host's own among those at the same distance. */
	#find(customer: directories.Customer): readonly sources.Source[] {
		const found = this.#sources.get(customer.name) ?? this.#list(customer);
		if (found.length === this.#count(customer)) {
			this.#sources.set(customer.name, found);
		}

		return found;
	}

	/** Number of the customer's counters, also of those that can't be reached yet. */
	#count(customer: directories.Customer): number {
		return this.#standing.view?.counters(customer.name, budget.countCounters(this.#options.bound, customer)).length ?? 0;
	}

	#list(customer: directories.Customer): readonly sources.Source[] {
		const {self, bound} = this.#options;
		const {view} = this.#standing;
		const own = view?.hosts.find(({name}) => name === self);
		if (!view || !own) {
			return [];
		}

		const names = view.counters(customer.name, budget.countCounters(bound, customer));
		const listed = ownership.rank(self, view.hosts.filter(({name}) => names.includes(name))).flatMap(host => this.#describe(own, host));
		return listed.toSorted((one, other) => counters.distances.indexOf(one.distance) - counters.distances.indexOf(other.distance));
	}

	#describe(own: counters.Host, host: counters.Host): sources.Source[] {
		if (host === own) {
			return [this.#local];
		}

		const source = this.#options.reach(host.name, counters.distance(own, host), this.#confirm);
		return source ? [source] : [];
	}
}
