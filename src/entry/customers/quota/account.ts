/**
What one host has leased of one customer's quota.
*/
import * as clock from '../../../core/clock.js';

/** One leased operation, by the time of the request for it. */
export type Token = {readonly requestedAt: clock.Mark};

/** Time over which the demand is averaged. */
const demandMs = 1000;

/** Leased operations of a customer, and the demand for them at this host. */
export class Account {
	readonly #leaseMs: number;
	#tokens: Token[] = [];
	#demand = 0;
	#demandAt = 0;

	constructor(leaseMs: number) {
		this.#leaseMs = leaseMs;
	}

	/** Operations a second that this host was asked for recently. */
	get demandPerS(): number {
		return this.#demand / demandMs * 1000;
	}

	/** Adds leased operations. */
	add(count: number, requestedAt: clock.Mark): void {
		this.#tokens.push(...Array.from({length: count}, () => ({requestedAt})));
	}

	/** Returns an operation that did not run. It expires as if it had not been taken. */
	restore(token: Token): void {
		this.#tokens.push(token);
	}

	/** Takes the operation that expires first; `undefined` if there is none. */
	take(now: clock.Mark): Token | undefined {
		this.#tokens = this.#tokens.filter(({requestedAt}) => clock.between(requestedAt, now) < this.#leaseMs);
		const first = this.#tokens.toSorted((one, other) => one.requestedAt.monotonicMs - other.requestedAt.monotonicMs)[0];
		this.#tokens = this.#tokens.filter(token => token !== first);
		return first;
	}

	/** Counts an operation of a caller, whether or not it is admitted. */
	recordDemand(now: number): void {
		this.#demand = (this.#demand * Math.exp((this.#demandAt - now) / demandMs)) + 1;
		this.#demandAt = now;
	}
}
