/**
A budget of repeated attempts, so that failing servers are not also loaded with a multiple of the requests.
*/

/** Requests that earn one repeated attempt: 10% of requests may be repeated. */
const requestsPerRetry = 10;
/** Repeated attempts that can be saved up; enough for every connection of one owner to fail at once. */
const burst = 20;

/** The budget of one service: a token bucket that requests fill and repeated attempts empty. */
export class Budget {
	#credit = burst * requestsPerRetry;
	#denied = 0;

	/** Repeated attempts that were denied. */
	get denied(): number {
		return this.#denied;
	}

	/** The attempts of a new request, which adds to the budget. */
	open(): Attempts {
		this.#credit = Math.min(burst * requestsPerRetry, this.#credit + 1);
		return new Attempts(this);
	}

	/** Takes one repeated attempt; false when none is left. */
	withdraw(): boolean {
		if (this.#credit < requestsPerRetry) {
			this.#denied++;
			return false;
		}

		this.#credit -= requestsPerRetry;
		return true;
	}
}

/** The attempts of one request. The first is free, and so is one after an answer that could not be used. */
export class Attempts {
	readonly #budget: Budget;
	#isFree = true;

	constructor(budget: Budget) {
		this.#budget = budget;
	}

	/**
	Whether another attempt may be made.

	@example
	```
	const attempts = budget.open();
	while (attempts.next() && !(await send())) {}
	```
	*/
	next(): boolean {
		const isFree = this.#isFree;
		this.#isFree = false;
		return isFree || this.#budget.withdraw();
	}

	/** Makes the next attempt free. For an answer that arrived but can't be used: its server has not failed. */
	excuse(): void {
		this.#isFree = true;
	}
}
