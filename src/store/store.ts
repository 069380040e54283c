/**
Interface of the platform's object store.
*/
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';

export type Entry = types.VersionedObject;

/**
A store of versioned objects. A write that loses a race fails with kind `conflict`; all other failures have kind `store`.
*/
export abstract class Store {
	/** Reads an object. Version 0 means that it does not exist. */
	abstract read(key: string): Promise<errors.Outcome<Entry>>;

	/**
	Writes an object if its version is still `expectedVersion`; 0 creates it.

	After a failure of kind `store` the write may or may not have taken effect; read the object to find out.
	*/
	abstract update(key: string, value: string, expectedVersion: number): Promise<errors.Outcome<Entry>>;

	/**
	Waits until the object's version exceeds `afterVersion`, and returns the entry. Returns the current entry if the time
	limit of watches, or a shorter `waitMs`, passes first.
	*/
	abstract watch(key: string, afterVersion: number, signal: AbortSignal, waitMs?: number): Promise<errors.Outcome<Entry>>;
}
