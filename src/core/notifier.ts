/**
A condition that tasks wait for.
*/

/** Wakes every waiter at each notification. */
export class Notifier {
	#waiters: Array<() => void> = [];

	/** Resolves at the next notification. */
	async next(): Promise<void> {
		return new Promise(resolve => {
			this.#waiters.push(resolve);
		});
	}

	/** Wakes everyone who waits now. */
	notify(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const wake of waiters) {
			wake();
		}
	}
}
