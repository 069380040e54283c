/**
Abstract interfaces to backend servers. `src/mysql` implements them with the MySQL protocol; tests use fakes.
*/
import type * as types from '../generated/types.js';
import * as connection from './connection.js';
import type * as errors from './errors.js';
import type * as position from './position.js';

export type Status = types.Status;
export type Grant = types.Grant;
export type Answer = types.Answer;

/**
One connection to a backend server, for one statement at a time.

Errors of every call: `database` with the server's error; `not-run` if no byte was sent; `outcome-unknown` if the
connection was lost or the timeout expired after bytes were sent. After `outcome-unknown` the connection is closed, so
that a late response can't be taken for the response to a later call.
*/
export abstract class Connection extends connection.Connection {
	/** Registers a callback for the closing of the connection, if the implementation can detect it. */
	whenClosed(_callback: () => void): void {
		// Without an implementation, a closed connection is detected at the next call.
	}

	/** Executes one statement. */
	abstract execute(sql: string, timeoutMs: number): Promise<errors.Outcome<Answer>>;

	/** Calls `group_status`. */
	abstract status(timeoutMs: number): Promise<errors.Outcome<Status>>;

	/** Calls `group_adopt_term`. */
	abstract adoptTerm(term: number, claimant: string, timeoutMs: number): Promise<errors.Outcome<Grant>>;

	/** Calls `group_promote`. */
	abstract promote(term: number, claimant: string, timeoutMs: number): Promise<errors.Outcome<Grant>>;

	/** Calls `group_follow`. */
	abstract follow(primary: string, term: number, timeoutMs: number): Promise<errors.Outcome<Grant>>;

	/** Calls `group_wait`, which returns the status once the log contains the position or `waitMs` have passed. */
	abstract wait(minPosition: position.Position, waitMs: number, timeoutMs: number): Promise<errors.Outcome<Status>>;
}

/** A backend server to which connections can be opened. */
export abstract class Server extends connection.Server<Connection> {}
