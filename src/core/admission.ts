/**
Admission control. A bounded number of requests is in service; the others wait in the bounded queue of their class,
which is served fairly between tenants, or are refused.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';

/** Permission for a request to be in service. Only the first call of `release` has an effect. */
export type Permit = {readonly release: () => void};

/** What the order of a waiting request depends on. */
export type Key = {readonly class: string; readonly tenant: string};
/** A waiting request. `admit` and `evict` are called when it is admitted or evicted from a full queue. */
export type Entry = Key & {readonly admit: () => void; readonly evict: () => void};

/** Number of requests that were admitted, refused or evicted at a full queue, and expired while waiting. */
export type Counts = {admitted: number; full: number; expired: number};

/** The order in which waiting requests are served. */
export abstract class Queue<E extends Key = Entry> {
	/** Number of waiting requests. */
	abstract get size(): number;

	/** Removes and returns the request to serve next. */
	next(): E | undefined {
		const entry = this.choose();
		if (entry) {
			this.remove(entry);
		}

		return entry;
	}

	abstract add(entry: E): void;

	/** Removes a request that no longer waits. */
	abstract remove(entry: E): void;

	/** Returns the request to serve next among those that `accepts` allows, by default all. It counts as a turn of its tenant, and stays in the queue. */
	abstract choose(accepts?: (entry: E) => boolean): E | undefined;

	/** Removes and returns a request to evict for one of `tenant` when the queue of the class is full, if any. */
	abstract evict(className: string, tenant: string): E | undefined;

	/** Accounts for the time that a request was in service. */
	abstract charge(key: Key, serviceMs: number): void;
}

/** One queue for all tenants in the order of arrival; the baseline of measurements. */
export class Fifo<E extends Key = Entry> extends Queue<E> {
	readonly #entries = new Set<E>();

	override get size(): number {
		return this.#entries.size;
	}

	override add(entry: E): void {
		this.#entries.add(entry);
	}

	override remove(entry: E): void {
		this.#entries.delete(entry);
	}

	override choose(accepts: (entry: E) => boolean = () => true): E | undefined {
		return [...this.#entries].find(entry => accepts(entry));
	}

	override evict(): E | undefined {
		return undefined;
	}

	override charge(): void {
		// The order of arrival does not depend on service times.
	}
}

/** Service time that each round adds to a tenant's deficit counter; about that of a short statement. */
const quantumMs = 5;
/** Cost of a tenant's request before its service times are known, and the bounds of the cost once they are. */
const initialCostMs = 5;
const minCostMs = 0.5;
/** Without this bound one long transaction would make its tenant wait for many rounds afterwards. */
const maxCostMs = 500;
/** Weight of the newest service time in the moving average. */
const costWeight = 0.2;

type Flow<E> = {readonly tenant: string; readonly entries: Set<E>; deficitMs: number};

/**
Classes take turns. Within a class, tenants share the service time by deficit round robin. The cost of a request is its
tenant's recent average service time, so that a tenant with slow statements gets no larger share of the connections.
*/
export class DeficitRoundRobin<E extends Key = Entry> extends Queue<E> {
	/** Tenants with waiting requests, by class; classes and tenants are in the order of service. */
	readonly #classes = new Map<string, Array<Flow<E>>>();
	readonly #costs = new Map<string, number>();
	#size = 0;

	override get size(): number {
		return this.#size;
	}

	override add(entry: E): void {
		const flows = this.#classes.get(entry.class) ?? [];
		this.#classes.set(entry.class, flows);
		let flow = flows.find(({tenant}) => tenant === entry.tenant);
		if (!flow) {
			flow = {tenant: entry.tenant, entries: new Set(), deficitMs: 0};
			flows.push(flow);
		}

		flow.entries.add(entry);
		this.#size++;
	}

	override remove(entry: E): void {
		const flows = this.#classes.get(entry.class) ?? [];
		const index = flows.findIndex(({tenant}) => tenant === entry.tenant);
		const flow = flows[index];
		if (!flow?.entries.delete(entry)) {
			return;
		}

		this.#size--;
		if (flow.entries.size === 0) {
			flows.splice(index, 1);
		}

		if (flows.length === 0) {
			this.#classes.delete(entry.class);
		}
	}

	override choose(accepts: (entry: E) => boolean = () => true): E | undefined {
		for (const [className, flows] of this.#classes) {
			const entry = this.#select(className, flows, accepts);
			if (entry) {
				this.#classes.delete(className);
				this.#classes.set(className, flows);
				return entry;
			}
		}

		return undefined;
	}

	/** The newest request of the tenant with the most waiting requests, if it has at least two more than `tenant`. */
	override evict(className: string, tenant: string): E | undefined {
		const flows = this.#classes.get(className) ?? [];
		const ownCount = flows.find(flow => flow.tenant === tenant)?.entries.size ?? 0;
		const longest = flows.toSorted((left, right) => right.entries.size - left.entries.size)[0];
		const entry = longest && longest.entries.size > ownCount + 1 ? [...longest.entries].at(-1) : undefined;
		if (entry) {
			this.remove(entry);
		}

		return entry;
	}

	override charge({class: className, tenant}: Key, serviceMs: number): void {
		const key = `${className}/${tenant}`;
		const average = this.#costs.get(key) ?? serviceMs;
		this.#costs.set(key, average + (costWeight * (serviceMs - average)));
	}

	/** Each round adds a quantum to every flow with an accepted entry, so that the loop ends after at most `maxCostMs / quantumMs` rounds. */
	#select(className: string, flows: Array<Flow<E>>, accepts: (entry: E) => boolean): E | undefined {
		const accepted = new Map<Flow<E>, E>();
		for (const flow of flows) {
			const entry = [...flow.entries].find(candidate => accepts(candidate));
			if (entry) {
				accepted.set(flow, entry);
			}
		}

		while (accepted.size > 0) {
			const [flow] = flows;
			const entry = flow && accepted.get(flow);
			if (entry) {
				const cost = this.#cost(className, flow.tenant);
				if (flow.deficitMs >= cost) {
					flow.deficitMs -= cost;
					return entry;
				}

				flow.deficitMs += quantumMs;
			}

			flows.push(...flows.splice(0, 1));
		}

		return undefined;
	}

	#cost(className: string, tenant: string): number {
		const average = this.#costs.get(`${className}/${tenant}`) ?? initialCostMs;
		return Math.min(maxCostMs, Math.max(minCostMs, average));
	}
}

/** Admits requests to service. */
export class Admission {
	readonly counts: Counts = {admitted: 0, full: 0, expired: 0};
	readonly #clock: clock.Clock;
	readonly #queue: Queue;
	readonly #maxInService: () => number;
	/** Number of waiting requests by class. */
	readonly #waiting = new Map<string, number>();
	#inService = 0;

	/** `maxInService` returns the current maximum number of requests in service. */
	constructor(time: clock.Clock, queue: Queue, maxInService: () => number) {
		this.#clock = time;
		this.#queue = queue;
		this.#maxInService = maxInService;
	}

	/** Number of requests in service. */
	get inService(): number {
		return this.#inService;
	}

	/** Number of waiting requests. */
	get waiting(): number {
		return this.#queue.size;
	}

	/**
	Waits until the request is admitted. `queueLimit` is that of its class.

	Errors: `not-run` if the queue of the class is full, if the request is evicted from a full queue in favor of a tenant
	with fewer waiting requests, or at the deadline.

	@example
	```
	const permit = await admission.enter(request, 200);
	```
	*/
	async enter(request: Pick<types.Request, 'class' | 'tenant' | 'deadlineMs'>, queueLimit: number): Promise<errors.Outcome<Permit>> {
		const waiting = this.#waiting.get(request.class) ?? 0;
		const isFull = waiting >= queueLimit && (this.#queue.size > 0 || this.#inService >= this.#maxInService());
		const evicted = isFull ? this.#queue.evict(request.class, request.tenant) : undefined;
		evicted?.evict();
		return isFull && !evicted ? this.#refuse(request.class, queueLimit) : this.#wait(request, queueLimit);
	}

	async #wait(request: Pick<types.Request, 'class' | 'tenant' | 'deadlineMs'>, queueLimit: number): Promise<errors.Outcome<Permit>> {
		const settled = new AbortController();
		return new Promise(resolve => {
			const finish = (): void => {
				settled.abort();
				this.#adjustWaiting(request.class, -1);
			};

			const entry: Entry = {
				class: request.class,
				tenant: request.tenant,
				admit: () => {
					finish();
					resolve(Either.right(this.#createPermit(entry)));
				},
				evict: () => {
					finish();
					resolve(this.#refuse(request.class, queueLimit));
				},
			};

			const expire = async (): Promise<void> => {
				await this.#clock.sleep(request.deadlineMs, settled.signal);
				if (!settled.signal.aborted) {
					this.#queue.remove(entry);
					finish();
					this.counts.expired++;
					resolve(errors.fail('not-run', 'admit', request.class, `the request waited until its deadline of ${Math.round(request.deadlineMs)} ms`));
				}
			};

			this.#queue.add(entry);
			this.#adjustWaiting(request.class, 1);
			this.#admitNext();
			if (!settled.signal.aborted) {
				void expire();
			}
		});
	}

	#refuse(className: string, queueLimit: number): errors.Outcome<never> {
		this.counts.full++;
		return errors.fail('not-run', 'admit', className, `the queue of the class is full at ${queueLimit} requests`);
	}

	#admitNext(): void {
		while (this.#queue.size > 0 && this.#inService < this.#maxInService()) {
			this.#queue.next()?.admit();
		}
	}

	#createPermit(entry: Entry): Permit {
		const admittedAt = this.#clock.now();
		let isHeld = true;
		this.#inService++;
		this.counts.admitted++;
		return {
			release: () => {
				if (isHeld) {
					isHeld = false;
					this.#inService--;
					this.#queue.charge(entry, this.#clock.now() - admittedAt);
					this.#admitNext();
				}
			},
		};
	}

	#adjustWaiting(className: string, change: number): void {
		this.#waiting.set(className, (this.#waiting.get(className) ?? 0) + change);
	}
}
