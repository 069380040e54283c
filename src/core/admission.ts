/**
Which requests are in service, which wait and which are refused. A bounded number is in service; the others wait in
the queue of their class, from which tenants are served fairly.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';

/** Leave to be in service. It is given back once; further calls have no effect. */
export type Permit = {readonly release: () => void};

/** A request that waits, and what to call when it is admitted or gives way to another one. */
export type Entry = {readonly class: string; readonly tenant: string; readonly admit: () => void; readonly displace: () => void};

/** Requests admitted, and refused by reason. */
export type Counts = {admitted: number; full: number; expired: number};

/** The order in which waiting requests are served. */
export abstract class Queue {
	/** Number of requests that wait. */
	abstract get size(): number;

	abstract add(entry: Entry): void;

	/** Takes a request out that no longer waits. */
	abstract remove(entry: Entry): void;

	/** Takes out the request that is served next. */
	abstract next(): Entry | undefined;

	/** Takes out a request that gives way to one of `tenant` when the queue of the class is full; `undefined` if none does. */
	abstract displace(name: string, tenant: string): Entry | undefined;

	/** Tells for how many ms a request was in service. */
	abstract charge(entry: Entry, serviceMs: number): void;
}

/** One queue for everybody, in the order of arrival; the baseline for measurements. */
export class FirstCome extends Queue {
	readonly #entries = new Set<Entry>();

	override get size(): number {
		return this.#entries.size;
	}

	override add(entry: Entry): void {
		this.#entries.add(entry);
	}

	override remove(entry: Entry): void {
		this.#entries.delete(entry);
	}

	override next(): Entry | undefined {
		const [first] = this.#entries;
		if (first) {
			this.#entries.delete(first);
		}

		return first;
	}

	override displace(): Entry | undefined {
		return undefined;
	}

	override charge(): void {
		// The order does not depend on it.
	}
}

/** Service time in ms that a tenant is granted in each round; about that of a short statement. */
const quantumMs = 5;
/** Cost in ms of a tenant's request before its service times are known, and the limits of what is known later. */
const initialCostMs = 5;
const leastCostMs = 0.5;
/** Without this limit one long transaction would keep its tenant waiting for many rounds afterwards. */
const highestCostMs = 500;
/** Weight of the newest service time in the average. */
const costWeight = 0.2;

type Flow = {readonly tenant: string; readonly entries: Set<Entry>; deficitMs: number};

/**
Classes take turns; within a class, tenants share the service time by deficit round robin. A request costs its
tenant's recent average service time, so a tenant with slow statements gets no larger part of the connections.
*/
export class DeficitRoundRobin extends Queue {
	/** Classes with waiting requests, the next one first, and their tenants, likewise. */
	readonly #classes = new Map<string, Flow[]>();
	readonly #costs = new Map<string, number>();
	#size = 0;

	override get size(): number {
		return this.#size;
	}

	override add(entry: Entry): void {
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

	override remove(entry: Entry): void {
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

	override next(): Entry | undefined {
		const [first] = this.#classes;
		if (!first) {
			return undefined;
		}

		const [name, flows] = first;
		const entry = this.#choose(name, flows);
		this.#classes.delete(name);
		this.#classes.set(name, flows);
		if (entry) {
			this.remove(entry);
		}

		return entry;
	}

	/** The newest request of the tenant that has most of them, unless `tenant` would then have as many itself. */
	override displace(name: string, tenant: string): Entry | undefined {
		const flows = this.#classes.get(name) ?? [];
		const own = flows.find(flow => flow.tenant === tenant)?.entries.size ?? 0;
		const longest = flows.toSorted((left, right) => right.entries.size - left.entries.size)[0];
		const entry = longest && longest.entries.size > own + 1 ? [...longest.entries].at(-1) : undefined;
		if (entry) {
			this.remove(entry);
		}

		return entry;
	}

	override charge(entry: Entry, serviceMs: number): void {
		const key = `${entry.class}/${entry.tenant}`;
		const average = this.#costs.get(key) ?? serviceMs;
		this.#costs.set(key, average + (costWeight * (serviceMs - average)));
	}

	/** Every round adds a quantum to each tenant, so that one of them can pay after a bounded number of rounds. */
	#choose(name: string, flows: Flow[]): Entry | undefined {
		for (let flow = flows[0]; flow; flow = flows[0]) {
			const cost = this.#cost(name, flow.tenant);
			if (flow.deficitMs >= cost) {
				flow.deficitMs -= cost;
				const [entry] = flow.entries;
				return entry;
			}

			flow.deficitMs += quantumMs;
			flows.push(...flows.splice(0, 1));
		}

		return undefined;
	}

	#cost(name: string, tenant: string): number {
		const average = this.#costs.get(`${name}/${tenant}`) ?? initialCostMs;
		return Math.min(highestCostMs, Math.max(leastCostMs, average));
	}
}

/** Admits requests to service. */
export class Admission {
	readonly counts: Counts = {admitted: 0, full: 0, expired: 0};
	readonly #clock: clock.Clock;
	readonly #queue: Queue;
	readonly #limit: () => number;
	/** Waiting requests of each class. */
	readonly #waiting = new Map<string, number>();
	#inService = 0;

	/** `limit` gives the most requests in service, which may change. */
	constructor(time: clock.Clock, queue: Queue, limit: () => number) {
		this.#clock = time;
		this.#queue = queue;
		this.#limit = limit;
	}

	/** Requests in service. */
	get inService(): number {
		return this.#inService;
	}

	/** Requests that wait. */
	get waiting(): number {
		return this.#queue.size;
	}

	/**
	Waits until the request may be in service. `queueLimit` is that of its class.

	Errors: `not-run` at once when the queue of the class is full, later when it gives way to a request of a tenant that
	has fewer in a full queue, and at the deadline.

	@example
	```
	const permit = await admission.enter(request, 200);
	```
	*/
	async enter(request: Pick<types.Request, 'class' | 'tenant' | 'deadlineMs'>, queueLimit: number): Promise<errors.Outcome<Permit>> {
		const waiting = this.#waiting.get(request.class) ?? 0;
		const isFull = waiting >= queueLimit && (this.#queue.size > 0 || this.#inService >= this.#limit());
		const displaced = isFull ? this.#queue.displace(request.class, request.tenant) : undefined;
		displaced?.displace();
		return isFull && !displaced ? this.#refuse(request.class, queueLimit) : this.#wait(request, queueLimit);
	}

	async #wait(request: Pick<types.Request, 'class' | 'tenant' | 'deadlineMs'>, queueLimit: number): Promise<errors.Outcome<Permit>> {
		const settled = new AbortController();
		return new Promise(resolve => {
			const leave = (): void => {
				settled.abort();
				this.#count(request.class, -1);
			};

			const entry: Entry = {
				class: request.class,
				tenant: request.tenant,
				admit: () => {
					leave();
					resolve(Either.right(this.#grant(entry)));
				},
				displace: () => {
					leave();
					resolve(this.#refuse(request.class, queueLimit));
				},
			};

			const expire = async (): Promise<void> => {
				await this.#clock.sleep(request.deadlineMs, settled.signal);
				if (!settled.signal.aborted) {
					this.#queue.remove(entry);
					leave();
					this.counts.expired++;
					resolve(errors.fail('not-run', 'admit', request.class, `the request waited until its deadline of ${Math.round(request.deadlineMs)} ms`));
				}
			};

			this.#queue.add(entry);
			this.#count(request.class, 1);
			this.#dispatch();
			if (!settled.signal.aborted) {
				void expire();
			}
		});
	}

	#refuse(name: string, queueLimit: number): errors.Outcome<never> {
		this.counts.full++;
		return errors.fail('not-run', 'admit', name, `the queue of the class is full at ${queueLimit} requests`);
	}

	#dispatch(): void {
		while (this.#queue.size > 0 && this.#inService < this.#limit()) {
			this.#queue.next()?.admit();
		}
	}

	#grant(entry: Entry): Permit {
		const since = this.#clock.now();
		let isHeld = true;
		this.#inService++;
		this.counts.admitted++;
		return {
			release: () => {
				if (isHeld) {
					isHeld = false;
					this.#inService--;
					this.#queue.charge(entry, this.#clock.now() - since);
					this.#dispatch();
				}
			},
		};
	}

	#count(name: string, change: number): void {
		this.#waiting.set(name, (this.#waiting.get(name) ?? 0) + change);
	}
}
