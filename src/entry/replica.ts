/**
The objects of one kind as this host has them: the store's state at a revision. A state is only replaced by one of a
higher revision, whether it comes from the store or from another host.
*/
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';

/** What a replica needs. */
export type Parts<K extends objects.Kind> = {
	readonly kind: K;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Takes an object's present state; without an item it is gone. */
	readonly take: (name: string, item: objects.Item<K> | undefined) => void;
};

/** A step from one revision to another; without `from` the items are complete. */
export type Step<K extends objects.Kind> = {
	readonly from: number | undefined;
	readonly revision: number;
	readonly items: ReadonlyArray<objects.Item<K>>;
	readonly gone: readonly string[];
};

type Listener<K extends objects.Kind> = (step: Step<K>) => void;

/** The objects of one kind. */
export class Replica<K extends objects.Kind> {
	readonly #parts: Parts<K>;
	readonly #items = new Map<string, objects.Item<K>>();
	readonly #listeners = new Set<Listener<K>>();
	#revision: number | undefined;
	#provenAt = Number.NEGATIVE_INFINITY;

	constructor(parts: Parts<K>) {
		this.#parts = parts;
	}

	get kind(): K {
		return this.#parts.kind;
	}

	/** Revision of the state; `undefined` before the first one. */
	get revision(): number | undefined {
		return this.#revision;
	}

	/** Time in ms since which changes of the store may be unknown. */
	get ageMs(): number {
		return this.#parts.clock.now() - this.#provenAt;
	}

	/** The whole state; `undefined` before the first one. */
	get state(): Step<K> | undefined {
		return this.#revision === undefined
			? undefined
			: {
				from: undefined, revision: this.#revision, items: [...this.#items.values()], gone: [],
			};
	}

	/** Takes a step that was the store's state at `provenAt`, a time of the clock. False if a step before it is missing. */
	apply(step: Step<K>, provenAt: number): boolean {
		const known = this.#revision;
		const isNext = step.from === undefined || (known !== undefined && step.from <= known);
		if (!isNext || (known !== undefined && step.revision < known)) {
			return isNext;
		}

		this.#provenAt = Math.max(this.#provenAt, provenAt);
		const isNew = known === undefined || step.revision > known;
		if (isNew) {
			this.#revision = step.revision;
			this.#change(step);
		}

		const told = isNew
			? {...step, from: step.from === undefined ? undefined : known}
			: {
				from: known, revision: known, items: [], gone: [],
			};
		for (const listener of this.#listeners) {
			listener(told);
		}

		return true;
	}

	/** Tells `listener` of each step from now on, also of those without a change. Gives a function that ends it. */
	listen(listener: Listener<K>): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#change({from, items, gone}: Step<K>): void {
		const listed = new Set(items.map(({name}) => name));
		const lost = from === undefined ? [...this.#items.keys()].filter(name => !listed.has(name)) : gone;
		for (const name of lost) {
			if (this.#items.delete(name)) {
				this.#parts.take(name, undefined);
			}
		}

		for (const item of items) {
			const known = this.#items.get(item.name);
			if (known?.revision !== item.revision) {
				this.#items.set(item.name, item);
				this.#take(item);
			}
		}
	}

	#take(item: objects.Item<K>): void {
		if (item.value === undefined) {
			this.#parts.decisions.record('object-unreadable', {
				kind: this.#parts.kind, name: item.name, revision: item.revision, fault: item.fault,
			});
		}

		this.#parts.take(item.name, item);
	}
}
