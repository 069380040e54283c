/**
A token bucket with an exact count: in any time T it grants at most `rate` x T + `size` operations.
*/

/** Rate and size of a bucket. */
export type Limits = {readonly operationsPerMs: number; readonly size: number};

/** Tolerance of sums of fractions, in operations. */
const epsilon = 1e-9;

/** One bucket. It starts empty, so that a restarted host grants nothing twice. */
export class Bucket {
	#limits: Limits;
	#level = 0;
	#updatedAt: number;

	constructor(limits: Limits, now: number) {
		this.#limits = limits;
		this.#updatedAt = now;
	}

	/** Takes up to `wanted` operations and returns how many. */
	take(wanted: number, now: number): number {
		this.#refill(now);
		const granted = Math.max(0, Math.min(wanted, Math.floor(this.#level + epsilon)));
		this.#level -= granted;
		return granted;
	}

	/** Time in ms until an operation can be taken; infinite if the bucket never holds one. */
	waitMs(now: number): number {
		this.#refill(now);
		const {size, operationsPerMs} = this.#limits;
		return size + epsilon < 1 ? Number.POSITIVE_INFINITY : Math.max(0, 1 - this.#level) / operationsPerMs;
	}

	/** Applies other limits from now on. Operations above the new size are lost. */
	resize(limits: Limits, now: number): void {
		this.#refill(now);
		this.#limits = limits;
		this.#level = Math.min(limits.size, this.#level);
	}

	#refill(now: number): void {
		const elapsedMs = Math.max(0, now - this.#updatedAt);
		this.#level = Math.min(this.#limits.size, this.#level + (elapsedMs * this.#limits.operationsPerMs));
		this.#updatedAt = now;
	}
}
