/**
Limits customers by operations that this host leases from the hosts that count them.

A host asks the nearest counter first, and others once that one has none left. It remembers which counters had none, so a
customer over its limit costs few messages.
*/
import type * as types from '../../../generated/types.js';
import type * as clock from '../../../core/clock.js';
import type * as decisions from '../../decisions.js';
import type * as directories from '../directory.js';
import * as limiters from '../limiter.js';
import * as accounts from './account.js';
import * as budget from './budget.js';
import type * as counters from './counters.js';
import type * as sources from './source.js';

/** Wait for the answer of one counter: a round trip takes 7 ms between places and 16 ms between regions, and small hosts answer late under load. */
const answerTimeoutMs: Readonly<Record<counters.Distance, number>> = {
	'same host': 20, 'same place': 20, 'same region': 25, 'other region': 40,
};
/** Longest wait for operations. A caller tries other hosts after a refusal. */
const admissionTimeoutMs = 90;
/** Time for which a counter that didn't answer isn't asked. */
const silenceMs = 1000;
/**
Time for which a counter that had no operations left isn't asked, by distance: at least `min`, and twice as long after each
further time, up to `max`; an answer with operations takes one step back. Messages between regions are billed most, and a counter of another place has operations left for
this one only while its own place needs fewer than its share.
*/
const exhaustedMs: Readonly<Record<counters.Distance, {readonly min: number; readonly max: number}>> = {
	'same host': {min: 0, max: 0},
	'same place': {min: 50, max: 200},
	'same region': {min: 125, max: 1000},
	'other region': {min: 250, max: 4000},
};
/** Longest such time that a counter can ask for. */
const maxExhaustedMs = 1000;
/** Time to come back after a refusal because no counter could be reached. */
const unknownRetryMs = 200;
/** Part of a lease's time whose expected demand is leased in advance. */
const advanceRatio = 0.5;
/** Most operations in one request. */
const maxBatch = 64;

/** A counter that isn't asked until a clock time, and how often it had no operations left, less how often it had some. */
type Exhaustion = {readonly until: number; readonly times: number};

/** What this host knows about one customer. */
type Known = {
	customer: directories.Customer;
	readonly account: accounts.Account;
	/** Counters that had no operations left, by name. */
	readonly exhausted: Map<string, Exhaustion>;
	waiting: number;
	asking: Promise<void> | undefined;
};

export type Options = {
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	readonly bound: types.QuotaBound;
	/** The counters of a customer, nearest first. */
	readonly sources: (customer: directories.Customer) => readonly sources.Source[];
};

/** Limits customers to their quotas. */
export class Leasing extends limiters.Limiter {
	readonly #options: Options;
	readonly #leaseMs: number;
	readonly #known = new Map<string, Known>();
	/** Clock times until which counters that didn't answer aren't asked, by name. */
	readonly #silentUntil = new Map<string, number>();

	constructor(options: Options) {
		super();
		this.#options = options;
		this.#leaseMs = budget.leaseMs(options.bound);
	}

	override async admit(customer: directories.Customer): Promise<limiters.Admission> {
		const {clock: time, decisions: log} = this.#options;
		const known = this.#find(customer);
		known.account.recordDemand(time.now());
		known.waiting++;
		const admission = await this.#wait(known);
		known.waiting--;
		log.admission(customer.name, admission.kind);
		return admission;
	}

	override release({name}: directories.Customer, admission: limiters.Admission): void {
		if (admission.kind === 'admitted' && admission.token) {
			this.#known.get(name)?.account.restore(admission.token);
		}
	}

	/** Forgets customers that the configuration no longer has. */
	retain(customers: readonly directories.Customer[]): void {
		const names = new Set(customers.map(({name}) => name));
		for (const name of this.#known.keys()) {
			if (!names.has(name)) {
				this.#known.delete(name);
			}
		}
	}

	async #wait(known: Known): Promise<limiters.Admission> {
		const {clock: time} = this.#options;
		const deadline = time.now() + admissionTimeoutMs;
		for (;;) {
			const token = known.account.take(time.mark());
			if (token) {
				return {kind: 'admitted', token};
			}

			const now = time.now();
			const refusal = known.asking ? undefined : this.#refuse(known, now);
			if (refusal ?? now >= deadline) {
				return refusal ?? {kind: 'unknown', retryAfterMs: unknownRetryMs};
			}

			known.asking ??= this.#ask(known, now);
			await time.limit(known.asking, deadline - now);
		}
	}

	/** The refusal if no counter is left to ask. */
	#refuse(known: Known, now: number): limiters.Admission | undefined {
		const candidates = this.#options.sources(known.customer);
		if (candidates.some(source => this.#canAsk(known, source, now))) {
			return undefined;
		}

		const waits = candidates.flatMap(({name}) => known.exhausted.get(name) ?? []).filter(({until}) => until > now).map(({until}) => until - now);
		return waits.length === candidates.length && waits.length > 0
			? {kind: 'limited', retryAfterMs: Math.min(...waits)}
			: {kind: 'unknown', retryAfterMs: unknownRetryMs};
	}

	/** Asks one counter, and resolves once it has answered or its time is over. */
	async #ask(known: Known, now: number): Promise<void> {
		const candidates = this.#options.sources(known.customer).filter(source => this.#canAsk(known, source, now));
		const answering = candidates.filter(({name}) => !this.#silentUntil.has(name));
		const source = answering.find(({isOpen}) => isOpen) ?? answering[0] ?? candidates[0];
		const silent = candidates.find(({name}) => this.#silentUntil.has(name));
		if (silent && silent !== source) {
			// Asked in the background, since each wait for a counter that is still silent would delay an operation.
			this.#silentUntil.set(silent.name, now + silenceMs);
			void this.#request(known, silent);
		}

		for (const other of candidates) {
			if (!other.isOpen) {
				other.connect();
			}
		}

		const request = this.#request(known, source);
		if (await this.#options.clock.limit(request, answerTimeoutMs[source.distance]) === undefined) {
			this.#silentUntil.set(source.name, this.#options.clock.now() + silenceMs);
		}

		known.asking = undefined;
	}

	/** Adds what a counter grants, also if the answer comes late. */
	async #request(known: Known, source: sources.Source): Promise<'answered' | undefined> {
		const {clock: time} = this.#options;
		const requestedAt = time.mark();
		const grant = await source.request(known.customer.name, this.#countWanted(known, source), this.#leaseMs);
		if (!grant) {
			return undefined;
		}

		this.#silentUntil.delete(source.name);
		known.account.add(grant.granted, requestedAt);
		const times = known.exhausted.get(source.name)?.times ?? 0;
		if (grant.granted > 0) {
			known.exhausted.set(source.name, {until: requestedAt.monotonicMs, times: Math.max(0, times - 1)});
		} else {
			known.exhausted.set(source.name, {until: time.now() + exhaustionMs(source.distance, times, grant.retryAfterMs), times: times + 1});
		}

		return 'answered';
	}

	/** Operations to ask for. This host's own counter can be asked for each operation. */
	#countWanted({account, waiting}: Known, source: sources.Source): number {
		const expected = source.distance === 'same host' ? 0 : account.demandPerS * this.#leaseMs / 1000 * advanceRatio;
		return Math.min(maxBatch, Math.max(1, waiting) + Math.floor(expected));
	}

	#canAsk({exhausted}: Known, source: sources.Source, now: number): boolean {
		if (!source.isUsable && !source.isOpen) {
			source.connect();
			return false;
		}

		const isSilent = (this.#silentUntil.get(source.name) ?? Number.NEGATIVE_INFINITY) > now;
		return !isSilent && (exhausted.get(source.name)?.until ?? Number.NEGATIVE_INFINITY) <= now;
	}

	#find(customer: directories.Customer): Known {
		const known = this.#known.get(customer.name) ?? {
			customer, account: new accounts.Account(this.#leaseMs), exhausted: new Map<string, Exhaustion>(), waiting: 0, asking: undefined,
		};
		this.#known.set(customer.name, known);
		if (known.customer.operationsPerS !== customer.operationsPerS || known.customer.burst !== customer.burst) {
			// A higher quota applies at once.
			known.exhausted.clear();
		}

		known.customer = customer;
		return known;
	}
}

/** Time for which a counter without operations isn't asked after it had none `times` times before. */
function exhaustionMs(distance: counters.Distance, times: number, retryAfterMs: number): number {
	const {min, max} = exhaustedMs[distance];
	return Math.max(Math.min(max, min * (2 ** times)), Math.min(maxExhaustedMs, retryAfterMs));
}
