/**
This host's cache of the store's objects of one kind at a revision. The revision never decreases, whether updates come
from the store or from another host.
*/
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';
import type * as retentions from './retention.js';
import * as revisions from './revision.js';

export type Options<K extends objects.Kind> = {
	readonly kind: K;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	readonly retention: retentions.Retention<K>;
	/** Called with each changed object and the source of the update; without an item, the object was removed. */
	readonly onChange: (name: string, item: objects.Item<K> | undefined, source: string) => void;
};

/** Source of the updates that don't come from another host. */
export const storeSource = 'store';

/** The changes from revision `from` to `revision`; without `from`, the complete state. */
export type Update<K extends objects.Kind> = {
	readonly from: number | undefined;
	readonly revision: number;
	readonly items: ReadonlyArray<objects.Item<K>>;
	readonly gone: readonly string[];
};

type Listener<K extends objects.Kind> = (update: Update<K>) => void;

/** Caches the objects of one kind. */
export class Cache<K extends objects.Kind> {
	readonly #options: Options<K>;
	readonly #items = new Map<string, objects.Item<K>>();
	readonly #listeners = new Set<Listener<K>>();
	#revision: number | undefined;
	#isRead = false;
	#confirmedAt = Number.NEGATIVE_INFINITY;

	constructor(options: Options<K>) {
		this.#options = options;
	}

	get kind(): K {
		return this.#options.kind;
	}

	/** Revision of the state; `undefined` before the first update. */
	get revision(): number | undefined {
		return this.#revision;
	}

	/** Whether this process has read the objects from the store itself, so that it has all changes that were made before its start. */
	get isRead(): boolean {
		return this.#isRead;
	}

	/** Time since the cache was last confirmed to be current. */
	get ageMs(): number {
		return this.#options.clock.now() - this.#confirmedAt;
	}

	/** The complete state; `undefined` before the first update. */
	get state(): Update<K> | undefined {
		return this.#revision === undefined
			? undefined
			: {
				from: undefined, revision: this.#revision, items: [...this.#items.values()], gone: [],
			};
	}

	/** The objects that the restored store lacks, or has in an older form, and that this host still uses. */
	get retained(): ReadonlyArray<objects.Item<K>> {
		return [...this.#items.values()].filter(isOfEarlierGeneration(this.#revision ?? 0));
	}

	/** The object of this name; `undefined` if there is none. */
	item(name: string): objects.Item<K> | undefined {
		return this.#items.get(name);
	}

	/**
	Applies an update that was the store's state at clock time `confirmedAt`. `source` is the host that passed it on, or the
	store. Returns false if an earlier update is missing.
	*/
	apply(update: Update<K>, confirmedAt: number, source = storeSource): boolean {
		const current = this.#revision;
		const isApplicable = update.from === undefined || (current !== undefined && update.from <= current);
		if (!isApplicable || (current !== undefined && update.revision < current)) {
			return isApplicable;
		}

		this.#isRead ||= source === storeSource;
		this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
		const applied = current === undefined || update.revision > current ? this.#advance(update, source) : this.#adopt(update, source);
		for (const listener of this.#listeners) {
			listener(applied);
		}

		return true;
	}

	/** Calls `listener` with each applied update, including those without a change. Returns a function that unsubscribes it. */
	listen(listener: Listener<K>): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Advances to the revision of an update. Returns what changed for those who have followed this cache so far. */
	#advance(update: Update<K>, source: string): Update<K> {
		const current = this.#revision;
		const [before, after] = [revisions.split(current ?? update.revision), revisions.split(update.revision)];
		this.#revision = update.revision;
		if (after.generation > before.generation) {
			this.#options.decisions.record('store-restored', {
				kind: this.#options.kind, generation: after.generation, counter: after.counter, lost: before.counter,
			});
		}

		const applied = update.from === undefined ? this.#retain(update) : update;
		this.#update(applied, source);
		return {...applied, from: update.from === undefined ? undefined : current};
	}

	/** Takes over what the sender of an update at this cache's revision has retained and this cache does not have. */
	#adopt({revision, items}: Update<K>, source: string): Update<K> {
		const isRetained = isOfEarlierGeneration(revision);
		const adopted = {
			from: revision, revision, items: items.filter(item => isRetained(item) && this.#options.retention.isKept(item, this.#items.get(item.name))), gone: [],
		};
		this.#update(adopted, source);
		return adopted;
	}

	/** Adds the known objects that outlast the restoration of the store to the state of the restored store. */
	#retain(restored: Update<K>): Update<K> {
		const items = new Map(restored.items.map(item => [item.name, item]));
		for (const known of [...this.#items.values()].filter(isOfEarlierGeneration(restored.revision))) {
			if (this.#options.retention.isKept(known, items.get(known.name))) {
				items.set(known.name, known);
			}
		}

		return {...restored, items: [...items.values()]};
	}

	#update({from, items, gone}: Update<K>, source: string): void {
		const listed = new Set(items.map(({name}) => name));
		const removed = from === undefined ? [...this.#items.keys()].filter(name => !listed.has(name)) : gone;
		for (const name of removed) {
			if (this.#items.delete(name)) {
				this.#options.onChange(name, undefined, source);
			}
		}

		for (const item of items) {
			const known = this.#items.get(item.name);
			if (known?.revision !== item.revision) {
				this.#items.set(item.name, item);
				this.#emitChange(item, source);
			}
		}
	}

	#emitChange(item: objects.Item<K>, source: string): void {
		if (item.value === undefined) {
			this.#options.decisions.record('object-unreadable', {
				kind: this.#options.kind, name: item.name, revision: item.revision, fault: item.fault,
			});
		}

		for (const fault of item.omitted ?? []) {
			this.#options.decisions.record('entry-skipped', {
				kind: this.#options.kind, name: item.name, revision: item.revision, fault,
			});
		}

		this.#options.onChange(item.name, item, source);
	}
}

/** Returns whether an object was last changed in a generation of the store before that of `revision`. */
function isOfEarlierGeneration(revision: number): (item: {readonly revision: number}) => boolean {
	const {generation} = revisions.split(revision);
	return item => revisions.split(item.revision).generation < generation;
}
