/**
One holder's use of a connection to a backend server.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as backend from './backend.js';
import type * as member from './member.js';
import * as states from './state.js';
import type * as statement from './statement.js';

/** Time in ms for commands that end a transaction. */
const endTimeoutMs = 800;

/** A caller's statement, ready to be sent to a server. */
export type Work = {
	readonly id: string;
	readonly mode: 'read' | 'write';
	/** The text to forward; absent for a prepared statement. */
	readonly text: string | undefined;
	readonly prepared: states.Prepared | undefined;
	readonly parameters: string;
};

/** A connection in use. */
export class Lease {
	readonly member: member.Member;
	readonly #connection: backend.Connection;
	readonly #state: states.State;
	readonly #clock: clock.Clock;

	constructor(server: member.Member, connection: backend.Connection, state: states.State, time: clock.Clock) {
		this.member = server;
		this.#connection = connection;
		this.#state = state;
		this.#clock = time;
	}

	get isOpen(): boolean {
		return this.#connection.isOpen;
	}

	/** Opens a transaction on a connection that has the session's values. */
	async begin(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#run(this.#state.adapt(this.#connection, undefined), this.#connection.send(command, timeoutMs));
	}

	/** Runs a caller's statement with the session's values and prepared statements. */
	async run(work: Work, floor: statement.Position | null, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		const adapted = this.#state.adapt(this.#connection, work.prepared);
		const startedAt = this.#clock.now();
		const outcome = await this.#run(adapted, this.#connection.send(this.#command(work, floor), timeoutMs));
		if (Either.isLeft(outcome)) {
			this.member.failed(startedAt);
		} else {
			this.member.answered(this.#clock.now() - startedAt);
			this.member.holds(outcome.right.position);
			if (outcome.right.refusal === 'not-prepared') {
				// The server knows less of this connection than was noted.
				this.#connection.prepared.clear();
			}
		}

		return outcome;
	}

	/** Sends the end of a transaction as the caller gave it. */
	async end(id: string, text: string, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#connection.send({
			kind: 'forward', id, text, floor: null,
		}, timeoutMs);
	}

	/** Rolls back; the connection is closed if that fails. */
	async rollback(): Promise<void> {
		const outcome = await this.#connection.send({kind: 'rollback'}, endTimeoutMs);
		if (Either.isLeft(outcome) || outcome.right.state !== 'none') {
			this.#connection.close();
		}
	}

	/** Closes the connection, which rolls back what is open on it. */
	close(): void {
		this.#connection.close();
	}

	/** Gives the connection back. */
	async release(): Promise<void> {
		await this.member.pool.release(this.#connection, 'clean');
	}

	#command({id, text, prepared, parameters}: Work, floor: statement.Position | null): statement.Command {
		return prepared
			? {
				kind: 'execute', id, name: states.serverName(prepared), parameters, floor,
			}
			: {
				kind: 'forward', id, text: text ?? '', floor,
			};
	}

	async #run(adapted: ReturnType<states.State['adapt']>, sent: Promise<errors.Outcome<statement.Reply>>): Promise<errors.Outcome<statement.Reply>> {
		const outcome = await sent;
		if (Either.isRight(outcome) && adapted.length > 0 && !await states.isAdapted(adapted)) {
			this.#connection.close();
			return errors.fail('outcome-unknown', 'send', this.member.id, 'the connection could not be brought to the state of the session');
		}

		return outcome;
	}
}

/** How long to wait for a connection. An abort of `signal` ends the wait. */
export type Wait = {readonly timeoutMs: number; readonly signal?: AbortSignal};

/** Takes a connection to a server for a session. Errors: `not-run`. */
export async function take(server: member.Member, state: states.State, time: clock.Clock, wait: Wait): Promise<errors.Outcome<Lease>> {
	const startedAt = time.now();
	const acquired = await server.pool.acquire(wait.timeoutMs, wait.signal, connection => state.suits(connection));
	if (Either.isLeft(acquired)) {
		// A server that refuses a connection by an answer is alive.
		if (server.pool.open === 0 && acquired.left.step === 'connect') {
			server.failed(startedAt);
		}

		return acquired;
	}

	return Either.right(new Lease(server, acquired.right, state, time));
}
