/**
Counts of operations, refusals and open sessions by customer, for metrics.

Labels are bounded: the customers with the highest rates in the configuration have their own, the rest share one.
*/
import type * as directories from './directory.js';

/** Why an operation or a session was refused. */
export type Cause = 'unauthorized' | 'over-quota' | 'busy';

/** One value of a metric by customer. */
export type Sample<Label extends string> = {readonly labels: Record<Label, string>; readonly value: number};

/** Number of customers with a label of their own. */
const maxNamed = 20;
/** Label of all other customers. */
const otherLabel = 'other';
/** Label of refusals whose key belongs to no customer. */
const unknownLabel = 'unknown';
const causes: readonly Cause[] = ['unauthorized', 'over-quota', 'busy'];

type Counts = {operations: number; sessions: number; readonly refusals: Record<Cause, number>};

/** Counts by customer. */
export class Activity {
	readonly #customers: () => directories.Directory | undefined;
	readonly #counts = new Map<string, Counts>();
	#labelled: directories.Directory | undefined;
	#labels: ReadonlySet<string> = new Set();

	/** `customers` returns those in force. */
	constructor(customers: () => directories.Directory | undefined) {
		this.#customers = customers;
	}

	/** Counts the opening of a session. */
	opened(customer: string): void {
		this.#of(customer).sessions++;
	}

	/** Counts the end of a session. */
	closed(customer: string): void {
		this.#of(customer).sessions--;
	}

	/** Counts an operation that was admitted. */
	admitted(customer: string): void {
		this.#of(customer).operations++;
	}

	/** Counts a refusal; without a customer, the key was unknown. */
	refused(customer: string | undefined, cause: Cause): void {
		this.#of(customer ?? unknownLabel).refusals[cause]++;
	}

	/** Operations that were admitted since the start. */
	get operations(): Array<Sample<'customer'>> {
		return this.#sum(({operations}) => operations);
	}

	/** Open sessions. */
	get sessions(): Array<Sample<'customer'>> {
		return this.#sum(({sessions}) => sessions);
	}

	/** Refusals since the start. */
	get refusals(): Array<Sample<'customer' | 'cause'>> {
		return causes.flatMap(cause => this.#sum(({refusals}) => refusals[cause]).map(({labels, value}) => ({labels: {...labels, cause}, value})));
	}

	/** Sums the counts of each label, without those that are 0. */
	#sum(read: (counts: Counts) => number): Array<Sample<'customer'>> {
		this.#updateLabels();
		const sums = new Map<string, number>();
		for (const [name, counts] of this.#counts) {
			const label = name === unknownLabel || this.#labels.has(name) ? name : otherLabel;
			sums.set(label, (sums.get(label) ?? 0) + read(counts));
		}

		return [...sums].filter(([, value]) => value > 0).map(([customer, value]) => ({labels: {customer}, value}));
	}

	/** Chooses the labels anew for each version of the configuration. Names are compared last, so all hosts choose the same. */
	#updateLabels(): void {
		const directory = this.#customers();
		if (directory === this.#labelled) {
			return;
		}

		this.#labelled = directory;
		const ordered = (directory?.customers ?? []).toSorted((one, other) => other.operationsPerS - one.operationsPerS || (one.name < other.name ? -1 : 1));
		this.#labels = new Set(ordered.slice(0, maxNamed).map(({name}) => name));
	}

	#of(customer: string): Counts {
		const known = this.#counts.get(customer);
		if (known) {
			return known;
		}

		const added = {operations: 0, sessions: 0, refusals: {unauthorized: 0, 'over-quota': 0, busy: 0}};
		this.#counts.set(customer, added);
		return added;
	}
}
