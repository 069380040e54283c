/**
A notification that tasks can wait for.
*/

/** Wakes all waiters at each notification. */
export class Notifier {
	#waiters: Array<() => void> = [];

	/** Resolves at the next notification. */
	async next(): Promise<void> {
		return new Promise(resolve => {
			this.#waiters.push(resolve);
		});
	}

	/** Wakes all current waiters. */
	notify(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const wake of waiters) {
			wake();
		}
	}
}
