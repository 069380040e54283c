/**
A counting lock with first-come order.
*/

/** A lock that `count` holders may have at once. */
export class Lock {
	#free: number;
	readonly #waiters: Array<(release: () => void) => void> = [];

	constructor(count: number) {
		this.#free = count;
	}

	/** Waits for the lock; gives the function that releases it, or `undefined` after `timeoutMs`. */
	async acquire(timeoutMs: number): Promise<(() => void) | undefined> {
		if (this.#free > 0) {
			this.#free--;
			return this.#release();
		}

		return new Promise(resolve => {
			const waiter = (release: () => void): void => {
				clearTimeout(timer);
				resolve(release);
			};

			const timer = setTimeout(() => {
				this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
				resolve(undefined);
			}, timeoutMs);
			this.#waiters.push(waiter);
		});
	}

	#release(): () => void {
		let isHeld = true;
		return () => {
			if (!isHeld) {
				return;
			}

			isHeld = false;
			const waiter = this.#waiters.shift();
			if (waiter) {
				waiter(this.#release());
			} else {
				this.#free++;
			}
		};
	}
}
