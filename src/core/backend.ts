/**
Backend servers, as interfaces. `src/mysql` implements them by the MySQL protocol; tests use fakes.
*/
import type * as types from '../generated/types.js';
import * as connection from './connection.js';
import type * as errors from './errors.js';
import type * as position from './position.js';

export type Status = types.Status;
export type Grant = types.Grant;
export type Answer = types.Answer;

/**
One connection to a backend server. It carries one statement at a time.

Failures of every call: `database` with the server's error, `not-run` if no byte was sent, and `outcome-unknown` if
the connection was lost or the timeout passed after that. After `outcome-unknown` the connection is closed, so that a
late answer can't reach anybody.
*/
export abstract class Connection extends connection.Connection {
	/** Has `ended` called once the connection closes, where the implementation learns of it. */
	whenClosed(_ended: () => void): void {
		// Without this, the owner learns of a closed connection at its next call.
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

	/** Calls `group_wait`: the status once the log contains the position, or when `waitMs` have passed. */
	abstract wait(wanted: position.Position, waitMs: number, timeoutMs: number): Promise<errors.Outcome<Status>>;
}

/** A backend server to which connections can be opened. */
export abstract class Server extends connection.Server<Connection> {}
