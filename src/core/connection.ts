/**
Interfaces of connections and servers on which the pool depends, for any protocol.
*/
import type * as errors from './errors.js';

/** One connection to a backend server. */
export abstract class Connection {
	/** Name of the server. */
	abstract readonly server: string;

	abstract get isOpen(): boolean;

	/** Rolls back the session's transaction and clears its state, so that another session may use the connection. */
	abstract reset(timeoutMs: number): Promise<errors.Outcome<void>>;

	/** Closes the connection at once. A pending response is discarded, and a pending call fails with `outcome-unknown`. */
	abstract close(): void;
}

/** A backend server to which connections can be opened. */
export abstract class Server<C extends Connection> {
	abstract readonly name: string;
	abstract readonly place: string;

	/**
	Opens a connection, in the name of a customer where the deployment has customers. It then serves only that customer.

	Errors: `not-run`, since no statement was sent.
	*/
	abstract connect(timeoutMs: number, customer?: string): Promise<errors.Outcome<C>>;
}
