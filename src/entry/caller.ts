/**
Callers of an entry host, as interfaces. `src/platform` implements them by the line protocol; tests use fakes.
*/
import type * as statement from './statement.js';

/** What a caller opens a session with. */
export type Opening = {readonly database: string; readonly user: string};

/** The connection of one caller, which is one session. */
export abstract class Caller {
	/** Address of the caller, for logs. */
	abstract readonly peer: string;

	/** Whether a complete request was received that has not been replied to. */
	abstract get isWaiting(): boolean;

	/** What the caller opens its session with; `undefined` if it goes away before. */
	abstract open(): Promise<Opening | undefined>;

	/** Accepts the session. */
	abstract welcome(): void;

	/** Refuses the session and closes the connection. */
	abstract reject(refusal: statement.Refusal, message: string): void;

	/** The next request; `undefined` once the connection has ended. */
	abstract next(): Promise<statement.Request | undefined>;

	/** Replies to the last request. */
	abstract reply(reply: statement.Reply): void;

	/** Closes the connection after what has been written. */
	abstract close(): void;
}
