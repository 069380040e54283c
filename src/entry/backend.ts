/**
Backend servers of entry hosts, as interfaces. `src/platform` implements them by the line protocol; tests use fakes.
*/
import * as connection from '../core/connection.js';
import type * as errors from '../core/errors.js';
import type * as statement from './statement.js';

/**
One connection to a backend server. Commands are answered in the order in which they were sent, and several may be under
way. Once one is not answered in time the connection is closed, so that a late answer can't reach anybody.
*/
export abstract class Connection extends connection.Connection {
	/** Values that were set on the connection and not reset. */
	readonly values = new Map<string, string>();
	/** Names that were prepared on the connection and not reset. */
	readonly prepared = new Set<string>();

	/**
	Sends one command and gives its reply. Commands sent in the same turn of the event loop go in one write.

	Failures: `not-run` if no byte was sent, `outcome-unknown` if the connection ended or the time passed after that.
	*/
	abstract send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>>;

	/** Sends a question or an order that is answered with the server's standing. */
	abstract ask(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Standing>>;
}

/** A backend server to which connections can be opened. */
export abstract class Server extends connection.Server<Connection> {}
