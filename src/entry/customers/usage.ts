/**
Counts the operations of customers for metrics: the largest customers by name, all others together.
*/
import type * as limiters from './limiter.js';

type Result = limiters.Admission['kind'];

/** Operations of a customer, or of all others, with one result. */
export type Sample = {readonly customer: string; readonly result: Result; readonly count: number};

const maxNamed = 20;
/** Customers that are counted apart. The configuration bounds their number; those of removed ones stay. */
const maxCounted = 4096;
const others = 'other';
const results: readonly Result[] = ['admitted', 'limited', 'unknown'];

type Counts = Record<Result, number>;

/** Counts by customer and result since the start of the process. */
export class Usage {
	readonly #counts = new Map<string, Counts>();
	readonly #others: Counts = {admitted: 0, limited: 0, unknown: 0};

	count(customer: string, result: Result): void {
		const found = this.#counts.get(customer);
		if (found) {
			found[result]++;
		} else if (this.#counts.size < maxCounted) {
			this.#counts.set(customer, {
				admitted: 0, limited: 0, unknown: 0, [result]: 1,
			});
		} else {
			this.#others[result]++;
		}
	}

	/** The counts of the largest customers by name, and of the rest as `other`. */
	list(): Sample[] {
		const ranked = [...this.#counts].toSorted(([, one], [, other]) => total(other) - total(one));
		const rest = [this.#others, ...ranked.slice(maxNamed).map(([, counts]) => counts)];
		const sum = (result: Result): number => rest.reduce((count, counts) => count + counts[result], 0);
		return [
			...ranked.slice(0, maxNamed).flatMap(([customer, counts]) => results.map(result => ({customer, result, count: counts[result]}))),
			...results.map(result => ({customer: others, result, count: sum(result)})),
		];
	}
}

function total({admitted, limited, unknown}: Counts): number {
	return admitted + limited + unknown;
}
