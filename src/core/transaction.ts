/**
Explicit transactions of callers. Each holds one connection to the primary from BEGIN until it ends.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import type * as admission from './admission.js';
import type * as backend from './backend.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import type * as pool from './pool.js';
import * as random from './random.js';
import * as record from './record.js';
import * as settlement from './settlement.js';
import * as statement from './statement.js';

/**
Time in ms after which an idle transaction is rolled back. An owner has as few as 3 connections to a primary, so a
caller that stops sending inside a transaction must not hold one for long.
*/
export const idleLimitMs = 10_000;

/** Options of a commit, from its class. */
export type Options = {
	/** Whether the transaction may safely run twice. */
	readonly isIdempotent: boolean;
	readonly policy: acknowledgement.Policy;
};

type Active = {
	readonly connection: backend.Connection;
	readonly permit: admission.Permit;
	/** Request id of BEGIN; empty if it has none. */
	readonly requestId: string;
	/** Whether the class of BEGIN is idempotent. */
	readonly isIdempotent: boolean;
	readonly closed: AbortController;
	hasWritten: boolean;
	isBusy: boolean;
	lastUsedAt: number;
};

/** Executes the transactions of one group, at most one for each session. */
export class Transactions {
	readonly #group: group.Group;
	readonly #settlement: settlement.Settlement;
	readonly #random: random.Source;
	readonly #active = new Map<string, Active>();

	constructor(backendGroup: group.Group, resolver: settlement.Settlement, source: random.Source = new random.System()) {
		this.#group = backendGroup;
		this.#settlement = resolver;
		this.#random = source;
	}

	/** Number of open transactions. */
	get size(): number {
		return this.#active.size;
	}

	/** Whether the session has an open transaction. */
	has(session: string): boolean {
		return this.#active.has(session);
	}

	/**
	Opens a transaction for the request's session. One that is open already is rolled back, whereas MySQL would commit
	it. The permit is released together with the connection. `isIdempotent` is the setting of the request's class.

	Errors: `position-lost`, `not-run`.
	*/
	async begin(request: types.Request, permit: admission.Permit, isIdempotent: boolean): Promise<errors.Outcome<types.Answer>> {
		await this.end(request.session);
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			permit.release();
			return acquired;
		}

		const active: Active = {
			connection: acquired.right,
			permit,
			requestId: request.requestId,
			isIdempotent,
			closed: new AbortController(),
			hasWritten: false,
			isBusy: false,
			lastUsedAt: this.#group.clock.now(),
		};
		const outcome = await this.#beginConfirmed(active, request, deadline);
		if (Either.isLeft(outcome)) {
			await this.#close(active, 'dirty');
			return outcome.left.kind === 'position-lost' ? outcome : notRun(outcome.left);
		}

		// The session may have opened another transaction while this one was waiting, if its caller reconnected.
		await this.end(request.session);
		this.#active.set(request.session, active);
		void this.#endWhenIdle(request.session, active);
		return outcome;
	}

	/**
	Executes a statement inside the session's transaction.

	Errors: `database`, after which the transaction is kept; `directive` and `not-run`, after which it has been
	rolled back. A lost connection is `not-run`, since the server rolls back what was not committed.
	*/
	async within(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const active = this.#active.get(request.session);
		if (!active) {
			return this.#refuseEnded();
		}

		const classified = statement.classify(request.sql);
		if (Either.isRight(classified) && classified.right.hasImplicitCommit) {
			// The server would commit a part of the transaction without its record and before its caller sent COMMIT.
			await this.end(request.session);
			return errors.fail('directive', 'parse', this.#group.name, 'the statement would commit the open transaction, which was rolled back');
		}

		active.hasWritten ||= request.kind === 'write';
		const outcome = await this.#execute(active, request.sql, this.#group.clock.now() + request.deadlineMs);
		if (Either.isRight(outcome) || outcome.left.kind === 'database') {
			return outcome;
		}

		this.#detach(request.session, active);
		await this.#close(active, 'dirty');
		return notRun({...outcome.left, message: `${outcome.left.message}; the transaction was rolled back`});
	}

	/**
	Commits the session's transaction, and returns once the acknowledgement policy confirms the commit. A transaction
	that must not run twice, or that has a request id, first writes a record, which shows the outcome if the response to
	COMMIT is lost.

	Errors: `database`, `not-run`, `outcome-unknown`.
	*/
	async commit(request: types.Request, options: Options): Promise<errors.Outcome<types.Answer>> {
		const active = this.#active.get(request.session);
		if (!active) {
			return this.#refuseEnded();
		}

		this.#detach(request.session, active);
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const recordId = this.#recordId(request, active, options);
		if (recordId !== undefined) {
			const recorded = await record.insert(active.connection, recordId, {state: 'done', affectedRows: 0, insertId: 0}, request.deadlineMs);
			if (Either.isLeft(recorded)) {
				await this.#close(active, 'dirty');
				return record.isDuplicate(recorded.left)
					? await this.#settlement.explain(recorded.left, recordId, deadline)
					?? errors.fail('outcome-unknown', 'settle', recorded.left.peer, 'the server that holds the record has been replaced as primary')
					: notRun({...recorded.left, message: `${recorded.left.message}; the transaction was rolled back`});
			}
		}

		const outcome = await this.#execute(active, request.sql, deadline);
		await this.#close(active, Either.isRight(outcome) ? 'clean' : 'dirty');
		const acknowledged = Either.isRight(outcome) ? await this.#acknowledge(outcome.right, options.policy, deadline) : outcome;
		const isUnconfirmed = Either.isLeft(acknowledged) ? acknowledged.left.kind === 'outcome-unknown' : !acknowledgement.hasPosition(acknowledged.right);
		return isUnconfirmed && recordId !== undefined ? this.#settlement.settle(recordId, deadline) : acknowledged;
	}

	/** Rolls back the session's transaction, if it has one. */
	async end(session: string): Promise<void> {
		const active = this.#active.get(session);
		if (!active) {
			return;
		}

		this.#detach(session, active);
		if (active.isBusy) {
			// The response to the last statement is outstanding and must not reach the connection's next holder.
			active.connection.close();
		}

		await this.#close(active, 'dirty');
	}

	/** Id of the transaction's record, if it needs one. The class of COMMIT overrides the class of BEGIN. */
	#recordId(request: types.Request, active: Active, options: Options): string | undefined {
		const requestId = request.requestId === '' ? active.requestId : request.requestId;
		const isIdempotent = request.class === '' ? active.isIdempotent : options.isIdempotent;
		if (requestId === '' && (isIdempotent || !active.hasWritten)) {
			return undefined;
		}

		return record.id({...request, requestId: requestId === '' ? this.#random.id() : requestId});
	}

	/**
	Begins the transaction and confirms that its server is still primary, so that the transaction's reads include every
	write acknowledged before it. A replaced primary would serve them from an outdated log.
	*/
	async #beginConfirmed(active: Active, request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer>> {
		const {server} = active.connection;
		const {observer} = this.#group;
		const primary = {server, term: observer.primaryTermOf(server)};
		const [outcome, readIndex] = await Promise.all([
			this.#execute(active, request.sql, deadline),
			observer.readIndex(Math.max(1, deadline - this.#group.clock.now())),
		]);
		if (Either.isLeft(outcome) || Either.isLeft(readIndex)) {
			return Either.isLeft(readIndex) ? readIndex : outcome;
		}

		if (!settlement.hasRemainedPrimary(readIndex.right, primary)) {
			return errors.fail('not-run', 'route', server, 'the server has been replaced as primary');
		}

		const checked = this.#group.checkPosition(server, request.position);
		return Either.isLeft(checked) ? checked : outcome;
	}

	async #execute(active: Active, sql: string, deadline: number): Promise<errors.Outcome<types.Answer>> {
		active.isBusy = true;
		const outcome = await active.connection.execute(sql, Math.max(1, deadline - this.#group.clock.now()));
		active.isBusy = false;
		active.lastUsedAt = this.#group.clock.now();
		return outcome;
	}

	async #acknowledge(answer: types.Answer, policy: acknowledgement.Policy, deadline: number): Promise<errors.Outcome<types.Answer>> {
		if (!acknowledgement.hasPosition(answer)) {
			return Either.right(answer);
		}

		const remainingMs = Math.max(1, deadline - this.#group.clock.now());
		const confirmed = await policy.confirm(this.#group.observer, answer.server, answer.position, remainingMs);
		return Either.map(() => answer)(confirmed);
	}

	/** Rolls the transaction back once it has been idle for `idleLimitMs`. */
	async #endWhenIdle(session: string, active: Active): Promise<void> {
		while (!active.closed.signal.aborted) {
			const idleMs = active.isBusy ? 0 : this.#group.clock.now() - active.lastUsedAt;
			if (idleMs >= idleLimitMs) {
				await this.end(session);
				return;
			}

			await this.#group.clock.sleep(idleLimitMs - idleMs, active.closed.signal);
		}
	}

	/** Detaches the transaction from its session, unless the session has opened another one since. */
	#detach(session: string, active: Active): void {
		if (this.#active.get(session) === active) {
			this.#active.delete(session);
		}
	}

	async #close(active: Active, residue: pool.Residue): Promise<void> {
		active.closed.abort();
		await this.#group.release(active.connection, residue);
		active.permit.release();
	}

	#refuseEnded(): errors.Outcome<never> {
		return errors.fail('not-run', 'route', this.#group.name, 'the transaction has ended and was rolled back');
	}
}

function notRun(failure: errors.Failure): errors.Outcome<never> {
	return Either.left({...failure, kind: 'not-run', code: 0});
}
