/**
Records which parts of a deployment faults disturb. Bounds of time hold only for parts that were left alone for a while.
*/
import type * as clock from '../core/clock.js';

/** A part of the deployment: the store, all entry hosts, one of them, or one server with its connections. */
export type Scope = 'store' | 'hosts' | `host ${number}` | `server ${number}`;

type Disturbance = {count: number; endedAt: number};

/** Times of disturbances by scope. */
export class Contact {
	readonly #clock: clock.Clock;
	readonly #disturbances = new Map<Scope, Disturbance>();

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	begin(scopes: readonly Scope[]): void {
		for (const scope of scopes) {
			this.#find(scope).count++;
		}
	}

	end(scopes: readonly Scope[]): void {
		for (const scope of scopes) {
			const disturbance = this.#find(scope);
			disturbance.count--;
			disturbance.endedAt = this.#clock.now();
		}
	}

	/** Clock time since which nothing has disturbed any of the scopes; infinity while something does. */
	quietSince(scopes: readonly Scope[]): number {
		return Math.max(...scopes.map(scope => {
			const {count, endedAt} = this.#find(scope);
			return count > 0 ? Number.POSITIVE_INFINITY : endedAt;
		}));
	}

	#find(scope: Scope): Disturbance {
		const found = this.#disturbances.get(scope) ?? {count: 0, endedAt: Number.NEGATIVE_INFINITY};
		this.#disturbances.set(scope, found);
		return found;
	}
}
