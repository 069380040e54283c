/**
A retry budget, which keeps retries from multiplying the load on failing servers.
*/

/** Requests that earn one retry: 10% of requests may be retried. */
const requestsPerRetry = 10;
/** Maximum number of retries that accumulate; enough for every connection of one owner to fail at once. */
const burst = 20;

/** The retry budget of one service: a token bucket that each request adds to and each retry takes from. */
export class Budget {
	#tokens = burst * requestsPerRetry;
	#denied = 0;

	/** Number of retries that were denied. */
	get denied(): number {
		return this.#denied;
	}

	/** Starts a new request, which adds to the budget. */
	startRequest(): Attempts {
		this.#tokens = Math.min(burst * requestsPerRetry, this.#tokens + 1);
		return new Attempts(this);
	}

	/** Takes the tokens of one retry; false if there are too few. */
	tryAcquire(): boolean {
		if (this.#tokens < requestsPerRetry) {
			this.#denied++;
			return false;
		}

		this.#tokens -= requestsPerRetry;
		return true;
	}
}

/** The attempts of one request. The first attempt needs no budget, nor does one after `grantFree`. */
export class Attempts {
	readonly #budget: Budget;
	#isFree = true;

	constructor(budget: Budget) {
		this.#budget = budget;
	}

	/**
	Whether another attempt may be made. A retry is charged to the budget.

	@example
	```
	const attempts = budget.startRequest();
	while (attempts.next() && !(await send())) {}
	```
	*/
	next(): boolean {
		const isFree = this.#isFree;
		this.#isFree = false;
		return isFree || this.#budget.tryAcquire();
	}

	/** Exempts the next attempt from the budget, after an answer that was too old, since its server has not failed. */
	grantFree(): void {
		this.#isFree = true;
	}
}
