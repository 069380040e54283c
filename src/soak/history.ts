/**
The objects of the platform stand-in's store, with revisions and the events that led to them. The history can be undone,
as when a store comes back from a copy that is some seconds old.
*/
import type * as clock from '../core/clock.js';

export type Meta = {readonly name: string; readonly revision: number; readonly created: number; readonly finalizers: readonly string[]; readonly deleting: boolean};
export type Stored = {readonly meta: Meta; readonly spec: unknown; readonly status: unknown};

/** A change of one object. `before` is the object that it replaced or removed. */
export type Event = {
	readonly revision: number;
	readonly at: number;
	readonly kind: string;
	readonly object: Stored;
	readonly isDeleted: boolean;
	readonly before: Stored | undefined;
};

const firstRevision = 1;
/** Number of events kept, more than the changes of the longest time that a copy may be old. */
const maxEvents = 5000;

/** Objects by kind and name, and the events of their changes. */
export class History {
	readonly #clock: clock.Clock;
	readonly #objects = new Map<string, Stored>();
	readonly #events: Event[] = [];
	#revision = firstRevision;
	#compactedRevision = 0;

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	/** The revision of the last change. */
	get revision(): number {
		return this.#revision;
	}

	read(kind: string, name: string): Stored | undefined {
		return this.#objects.get(keyOf(kind, name));
	}

	list(kind: string): Stored[] {
		return [...this.#objects].filter(([key]) => key.startsWith(keyOf(kind, ''))).map(([, stored]) => stored);
	}

	/** Writes an object without a check of its revision. */
	put(kind: string, name: string, spec: unknown): Stored {
		const stored = {
			meta: {
				name, revision: this.#revision + 1, created: 1, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#append(kind, stored, false);
		this.#objects.set(keyOf(kind, name), stored);
		return stored;
	}

	remove(kind: string, name: string): void {
		const stored = this.read(kind, name);
		if (stored) {
			this.#append(kind, stored, true);
			this.#objects.delete(keyOf(kind, name));
		}
	}

	/** The events of a kind after `revision`; `undefined` if they were discarded, or if no change has had that revision yet. */
	changes(kind: string, revision: number): Event[] | undefined {
		return revision < this.#compactedRevision || revision > this.#revision
			? undefined
			: this.#events.filter(event => event.kind === kind && event.revision > revision);
	}

	/** Discards the events so far for watches; `restore` can still undo them. */
	compact(): void {
		this.#compactedRevision = this.#revision;
	}

	/** Undoes all changes after the clock time `at`. Their revisions are given out again. */
	restore(at: number): void {
		for (let last = this.#events.at(-1); last && last.at > at; last = this.#events.at(-1)) {
			this.#events.pop();
			this.#revision = last.revision - 1;
			const key = keyOf(last.kind, last.object.meta.name);
			if (last.before) {
				this.#objects.set(key, last.before);
			} else {
				this.#objects.delete(key);
			}
		}

		this.#compactedRevision = Math.min(this.#compactedRevision, this.#revision);
	}

	#append(kind: string, object: Stored, isDeleted: boolean): void {
		this.#revision++;
		this.#events.push({
			revision: this.#revision, at: this.#clock.now(), kind, object, isDeleted, before: this.read(kind, object.meta.name),
		});
		if (this.#events.length > maxEvents) {
			this.#compactedRevision = Math.max(this.#compactedRevision, this.#events.shift()?.revision ?? 0);
		}
	}
}

function keyOf(kind: string, name: string): string {
	return `${kind}/${name}`;
}
