/**
Delays between attempts at a server that refuses requests as busy.
*/
import type * as random from '../../core/random.js';

/** Bounds of the first delay. */
const firstMs = {low: 10, high: 20};
/** Factor limit: the delay doubles with each attempt up to 8 times the first. */
const maxFactor = 8;

/**
The delays of one request. Requests that were refused together are sent again at different times, and less often the
longer the server's queue is full.

@example
```
const delays = new backoff.Backoff(random);
await clock.sleep(delays.next());
```
*/
export class Backoff {
	readonly #random: random.Source;
	#factor = 1;

	constructor(source: random.Source) {
		this.#random = source;
	}

	/** The next delay in ms. */
	next(): number {
		const delayMs = this.#random.integer(firstMs.low, firstMs.high) * this.#factor;
		this.#factor = Math.min(maxFactor, this.#factor * 2);
		return delayMs;
	}
}
