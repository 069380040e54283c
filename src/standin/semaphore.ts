/**
A counting semaphore that serves waiters in FIFO order.
*/

/** A semaphore with `count` permits. */
export class Semaphore {
	#available: number;
	readonly #waiters: Array<(release: () => void) => void> = [];

	constructor(count: number) {
		this.#available = count;
	}

	/** Acquires a permit and returns the function that releases it; `undefined` if none is available within `timeoutMs`. */
	async acquire(timeoutMs: number): Promise<(() => void) | undefined> {
		if (this.#available > 0) {
			this.#available--;
			return this.#createRelease();
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

	#createRelease(): () => void {
		let isHeld = true;
		return () => {
			if (!isHeld) {
				return;
			}

			isHeld = false;
			const waiter = this.#waiters.shift();
			if (waiter) {
				waiter(this.#createRelease());
			} else {
				this.#available++;
			}
		};
	}
}
