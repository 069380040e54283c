/**
Transactions that callers open themselves. Each keeps one connection to the primary from its beginning to its end.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as acknowledgement from './acknowledgement.js';
import type * as backend from './backend.js';
import * as errors from './errors.js';
import type * as group from './group.js';

/** Executes the statements of transactions of one group, by session. */
export class Transactions {
	readonly #group: group.Group;
	readonly #open = new Map<string, backend.Connection>();

	constructor(servers: group.Group) {
		this.#group = servers;
	}

	/** Transactions that are open. */
	get size(): number {
		return this.#open.size;
	}

	/** Whether the session has an open transaction. */
	has(session: string): boolean {
		return this.#open.has(session);
	}

	/** Opens a transaction for the request's session. An open one is rolled back, though MySQL would commit it. */
	async begin(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		await this.end(request.session);
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return acquired;
		}

		const connection = acquired.right;
		const outcome = await connection.execute(request.sql, Math.max(1, deadline - this.#group.clock.now()));
		if (Either.isLeft(outcome)) {
			await this.#group.release(connection, 'dirty');
			return notRun(outcome.left);
		}

		this.#open.set(request.session, connection);
		return outcome;
	}

	/** Executes a statement inside the session's transaction. When its connection is lost, nothing of it has run. */
	async within(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const connection = this.#open.get(request.session);
		if (!connection) {
			return errors.fail('not-run', 'route', this.#group.name, 'the transaction has ended and was rolled back');
		}

		const outcome = await connection.execute(request.sql, request.deadlineMs);
		if (Either.isRight(outcome) || outcome.left.kind === 'database') {
			return outcome;
		}

		this.#open.delete(request.session);
		await this.#group.release(connection, 'dirty');
		return notRun({...outcome.left, message: `${outcome.left.message}; the transaction was rolled back`});
	}

	/** Commits. The answer passes once `policy` agrees. */
	async commit(request: types.Request, policy: acknowledgement.Policy): Promise<errors.Outcome<types.Answer>> {
		const connection = this.#open.get(request.session);
		if (!connection) {
			return errors.fail('not-run', 'route', this.#group.name, 'the transaction has ended and was rolled back');
		}

		this.#open.delete(request.session);
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const outcome = await connection.execute(request.sql, request.deadlineMs);
		await this.#group.release(connection, Either.isRight(outcome) ? 'clean' : 'dirty');
		if (Either.isLeft(outcome) || outcome.right.kind === 'rows' || !outcome.right.position) {
			return outcome;
		}

		const leftMs = Math.max(1, deadline - this.#group.clock.now());
		const confirmed = await policy.confirm(this.#group.observed, connection.server, outcome.right.position, leftMs);
		return Either.map(() => outcome.right)(confirmed);
	}

	/** Rolls back the session's transaction, if it has one. */
	async end(session: string): Promise<void> {
		const connection = this.#open.get(session);
		if (connection) {
			this.#open.delete(session);
			await this.#group.release(connection, 'dirty');
		}
	}
}

function notRun(failure: errors.Failure): errors.Outcome<never> {
	return Either.left({...failure, kind: 'not-run', code: 0});
}
