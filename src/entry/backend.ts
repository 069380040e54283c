/**
The interface to backend servers. `src/platform` implements it with the line protocol; tests use fakes.
*/
import * as connection from '../core/connection.js';
import type * as errors from '../core/errors.js';
import type * as statement from './statement.js';

/**
One connection to a backend server. Commands are pipelined, and replies come in the order of the commands. After a timeout
the connection is closed, so that a late reply can't be taken for the reply to another command.
*/
export abstract class Connection extends connection.Connection {
	/** Session values set on the connection since the last reset. */
	readonly values = new Map<string, string>();
	/** Names on the connection of the statements prepared since the last reset, by mode and shape. */
	readonly prepared = new Map<string, string>();
	#preparedCount = 0;

	/** A name that no statement has had on this connection. */
	createPreparedName(): string {
		this.#preparedCount++;
		return `s${this.#preparedCount}`;
	}

	/**
	Sends a command and returns its reply. Commands sent in the same turn of the event loop go in one write.

	Failures: `not-run` if no byte was sent, `outcome-unknown` if the connection ended or the timeout passed after that.
	*/
	abstract send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>>;

	/** Sends a command whose reply is the server's status. */
	abstract requestStatus(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.ServerStatus>>;
}

/** A backend server to which connections can be opened. */
export abstract class Server extends connection.Server<Connection> {}
