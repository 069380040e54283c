/**
What a pool needs of connections and of the servers to which they lead, whatever protocol they speak.
*/
import type * as errors from './errors.js';

/** One connection to a backend server. */
export abstract class Connection {
	/** Name of the server. */
	abstract readonly server: string;

	abstract get isOpen(): boolean;

	/** Ends the session's transaction and state, so that another session may use the connection. */
	abstract reset(timeoutMs: number): Promise<errors.Outcome<void>>;

	/** Closes the connection at once. What it still owes is dropped, and a call that waits fails with `outcome-unknown`. */
	abstract close(): void;
}

/** A backend server to which connections can be opened. */
export abstract class Server<C extends Connection> {
	abstract readonly name: string;
	abstract readonly place: string;

	/** Opens a connection. Failures: `not-run`, since no statement was sent. */
	abstract connect(timeoutMs: number): Promise<errors.Outcome<C>>;
}
