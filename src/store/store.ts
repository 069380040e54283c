/**
The platform's object store, as an interface.
*/
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';

export type Entry = types.Entry;

/**
Versioned objects. Every failure has kind `store`, but a lost race has kind `conflict`.
*/
export abstract class Store {
	/** Reads an object; version 0 means that it does not exist. */
	abstract read(key: string): Promise<errors.Outcome<Entry>>;

	/**
	Writes an object if its version is still `expectedVersion`; 0 creates it.

	A failure of kind `store` leaves open whether the change took effect: read back to find out.
	*/
	abstract update(key: string, value: string, expectedVersion: number): Promise<errors.Outcome<Entry>>;

	/**
	Waits until the object's version is above `afterVersion`; gives the present entry at the watch's time limit, or
	after `waitMs` if that is less.
	*/
	abstract watch(key: string, afterVersion: number, signal: AbortSignal, waitMs?: number): Promise<errors.Outcome<Entry>>;
}
