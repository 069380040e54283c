/**
A queue whose classes have priorities. A class is the number of its priority, 0 first; within a class tenants take turns.
*/
import * as admission from './admission.js';

/** One request in so many is taken from the lowest priority that waits, so that it gets a part of the service at any load. */
const lowestFirstInterval = 8;

/** Serves classes by priority, and the tenants of a class by deficit round robin. */
export class Priorities<E extends admission.Key> extends admission.Queue<E> {
	readonly #queues = new Map<string, admission.DeficitRoundRobin<E>>();
	#turns = 0;

	override get size(): number {
		return [...this.#queues.values()].reduce((sum, {size}) => sum + size, 0);
	}

	override add(entry: E): void {
		const queue = this.#queues.get(entry.class) ?? new admission.DeficitRoundRobin<E>();
		this.#queues.set(entry.class, queue);
		queue.add(entry);
	}

	override remove(entry: E): void {
		this.#queues.get(entry.class)?.remove(entry);
	}

	override choose(accepts?: (entry: E) => boolean): E | undefined {
		const classes = [...this.#queues.keys()].toSorted((one, other) => Number(one) - Number(other));
		const isLowestFirst = (this.#turns + 1) % lowestFirstInterval === 0;
		for (const name of isLowestFirst ? classes.toReversed() : classes) {
			const entry = this.#queues.get(name)?.choose(accepts);
			if (entry) {
				this.#turns++;
				return entry;
			}
		}

		return undefined;
	}

	override evict(className: string, tenant: string): E | undefined {
		return this.#queues.get(className)?.evict(className, tenant);
	}

	override charge(key: admission.Key, serviceMs: number): void {
		this.#queues.get(key.class)?.charge(key, serviceMs);
	}
}
