/**
Interface of the platform's object store: objects by kind and name, with one revision counter for all of them. Revisions
increase also when the store is restored from a copy, see `revision.ts`.
*/
import type * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';

/** Type of the stored values by kind. The operators write the configuration, backend servers their registrations. */
export type Values = {
	readonly configuration: types.Deployment;
	readonly servers: types.Registration;
	readonly hosts: types.Announcement;
	readonly claims: types.PromotionClaim;
	readonly 'in-sync': types.InSyncSet;
};

export type Kind = keyof Values;

/** Kinds of which every host keeps a current copy. */
export type CachedKind = Exclude<Kind, 'in-sync'>;

/**
One object. An invalid value is `undefined`, and `fault` gives the reason. `omitted` has the reasons for parts of the value
that were left out, where this host has read them from the store.
*/
export type Item<K extends Kind> = {
	readonly name: string;
	readonly revision: number;
	readonly value: Values[K] | undefined;
	readonly fault: string;
	readonly omitted?: readonly string[];
};

/** All objects of a kind at a revision of the store. `unreadable` describes those without a valid name or revision. */
export type Listing<K extends Kind> = {
	readonly items: ReadonlyArray<Item<K>>;
	readonly revision: number;
	readonly unreadable: readonly string[];
};

/** A change of an object; without `item`, the object was removed. */
export type Change<K extends Kind> = {readonly name: string; readonly item: Item<K> | undefined};

/** Changes after a requested revision, up to `revision`. `isLost` if the store no longer has all of them, or was restored since. */
export type Changes<K extends Kind> = {
	readonly changes: ReadonlyArray<Change<K>>;
	readonly revision: number;
	readonly isLost: boolean;
	/** Changes of objects without a valid name or revision. */
	readonly unreadable: readonly string[];
};

/** Failures have kind `store`; a write that is refused because of an earlier write has kind `conflict`. */
export abstract class Objects {
	/** All objects of a kind. */
	abstract list<K extends Kind>(kind: K): Promise<errors.Outcome<Listing<K>>>;

	/** Waits up to `waitMs` for changes after `revision`. When `signal` aborts, the call ends and fails. */
	abstract watch<K extends Kind>(kind: K, revision: number, waitMs: number, signal: AbortSignal): Promise<errors.Outcome<Changes<K>>>;

	/** One object; `undefined` if there is none. */
	abstract read<K extends Kind>(kind: K, name: string): Promise<errors.Outcome<Item<K> | undefined>>;

	/** Creates an object. After a failure of kind `store`, the write may or may not have taken effect. */
	abstract create<K extends Kind>(kind: K, name: string, value: Values[K]): Promise<errors.Outcome<Item<K>>>;

	/** Replaces an object if it still has `revision`. After a failure of kind `store`, the write may or may not have taken effect. */
	abstract replace<K extends Kind>(kind: K, name: string, value: Values[K], revision: number): Promise<errors.Outcome<Item<K>>>;
}
