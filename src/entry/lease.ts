/**
Leases of pooled connections to backend servers: one session or transaction uses a connection until its release.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as pool from '../core/pool.js';
import type * as backend from './backend.js';
import type * as member from './member.js';
import * as states from './state.js';
import type * as statement from './statement.js';

/** Timeout of a rollback. */
const rollbackTimeoutMs = 800;

/** A caller's statement, ready to be sent to a server. */
export type Work = {
	readonly id: string;
	readonly mode: 'read' | 'write';
	/** The text to forward; `undefined` for a prepared statement. */
	readonly text: string | undefined;
	readonly prepared: states.Prepared | undefined;
	readonly parameters: string;
};

/** A leased connection. */
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

	/** Applies the session's values and begins a transaction. */
	async begin(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#awaitReply(this.#state.applyTo(this.#connection, undefined), this.#connection.send(command, timeoutMs));
	}

	/** Applies the session's state and executes a caller's statement. */
	async run(work: Work, minPosition: statement.Position | null, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		const applied = this.#state.applyTo(this.#connection, work.prepared);
		const startedAt = this.#clock.now();
		const outcome = await this.#awaitReply(applied, this.#connection.send(this.#createCommand(work, minPosition), timeoutMs));
		if (Either.isLeft(outcome)) {
			// A write waits for the replicas, so its timeout doesn't show that the server is silent. Probes show that.
			if (work.mode === 'read') {
				this.member.recordFailure(startedAt);
			}
		} else {
			this.member.recordResponse();
			this.member.recordPosition(outcome.right.position);
			if (outcome.right.refusal === 'not-prepared') {
				// The server has lost prepared statements that were recorded for this connection.
				this.#connection.prepared.clear();
			}
		}

		return outcome;
	}

	/** Ends a transaction with the text of the caller's statement. */
	async end(id: string, text: string, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#connection.send({
			kind: 'forward', id, text, minPosition: null,
		}, timeoutMs);
	}

	/** Rolls back, and closes the connection if that fails. */
	async rollback(): Promise<void> {
		const outcome = await this.#connection.send({kind: 'rollback'}, rollbackTimeoutMs);
		if (Either.isLeft(outcome) || outcome.right.state !== 'none') {
			this.#connection.close();
		}
	}

	/** Closes the connection, which rolls back its open transaction. */
	close(): void {
		this.#connection.close();
	}

	/** Returns the connection to the pool. */
	async release(): Promise<void> {
		await this.member.pool.release(this.#connection, states.isOverfull(this.#connection) ? 'dirty' : 'clean');
	}

	#createCommand({id, text, prepared, parameters}: Work, minPosition: statement.Position | null): statement.Command {
		return prepared
			? {
				kind: 'execute', id, name: states.preparedName(this.#connection, prepared), parameters, minPosition,
			}
			: {
				kind: 'forward', id, text: text ?? '', minPosition,
			};
	}

	async #awaitReply(applied: ReturnType<states.State['applyTo']>, sent: Promise<errors.Outcome<statement.Reply>>): Promise<errors.Outcome<statement.Reply>> {
		const outcome = await sent;
		if (Either.isRight(outcome) && applied.length > 0 && !await states.isApplied(applied)) {
			this.#connection.close();
			return errors.fail('outcome-unknown', 'send', this.member.id, 'the session state could not be applied to the connection');
		}

		return outcome;
	}
}

/** Limits of the wait for a connection. An abort of `signal` ends it; with `atLimit`, it goes on at the server's limit. */
export type AcquireOptions = Omit<pool.Request<backend.Connection>, 'isPreferred'> & {readonly timeoutMs: number};

/** Leases a connection to a server for a session. Failures: `not-run`. */
export async function acquire(server: member.Member, state: states.State, time: clock.Clock, options: AcquireOptions): Promise<errors.Outcome<Lease>> {
	const startedAt = time.now();
	const acquired = await server.pool.acquire(options.timeoutMs, {...options, isPreferred: connection => state.isCompatible(connection)});
	if (Either.isLeft(acquired)) {
		// Only a failed connect counts as a failure: a server that replies with a refusal is alive.
		if (server.pool.open === 0 && acquired.left.step === 'connect') {
			server.recordFailure(startedAt);
		}

		return acquired;
	}

	return Either.right(new Lease(server, acquired.right, state, time));
}
