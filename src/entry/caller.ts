/**
The interface to callers of an entry host. `src/platform` implements it with the line protocol; tests use fakes.
*/
import type * as statement from './statement.js';

/** The opening message of a session. The key identifies the caller's customer; it must not be logged or passed on. */
export type Opening = {readonly database: string; readonly key: string};

/** The connection of one caller. It carries one session. */
export abstract class Caller {
	/** Remote address, for logs. */
	abstract readonly address: string;

	/** Whether a complete request was received that has no reply yet. */
	abstract get hasPendingRequest(): boolean;

	/**
	Counts the bytes that the session keeps: values, prepared statements and positions of commits; false if the process has no memory for them.
	Implementations without a memory budget keep everything.
	*/
	keep(_bytes: number): boolean {
		return true;
	}

	/** Waits for the opening message; `undefined` if the connection ends first. */
	abstract open(): Promise<Opening | undefined>;

	/** Accepts the session. */
	abstract accept(): void;

	/** Refuses the session and closes the connection. */
	abstract reject(refusal: statement.Refusal, message: string): void;

	/** Waits for the next request; `undefined` once the connection has ended. */
	abstract next(): Promise<statement.Request | undefined>;

	/** Replies to the last request that `next` returned. */
	abstract reply(reply: statement.Reply): void;

	/** Closes the connection once pending output is written. */
	abstract close(): void;
}
