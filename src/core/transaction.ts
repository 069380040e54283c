/**
Transactions that callers open themselves. Each keeps one connection to the primary from its beginning to its end.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as acknowledgement from './acknowledgement.js';
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
Time in ms after which a transaction without a statement is ended. An owner has as few as 3 connections to a primary,
so a caller that went silent inside a transaction must not keep one for long.
*/
export const idleLimitMs = 10_000;

/** How a commit may be treated, by the class that it names. */
export type Mode = {
	/** Whether the transaction may run twice. */
	readonly isIdempotent: boolean;
	readonly policy: acknowledgement.Policy;
};

type Open = {
	readonly connection: backend.Connection;
	readonly permit: admission.Permit;
	/** Request id of BEGIN; empty if it carries none. */
	readonly requestId: string;
	/** Whether the class of BEGIN is idempotent. */
	readonly isIdempotent: boolean;
	readonly closed: AbortController;
	hasWritten: boolean;
	isBusy: boolean;
	usedAt: number;
};

/** Executes the statements of transactions of one group, by session. */
export class Transactions {
	readonly #group: group.Group;
	readonly #settlement: settlement.Settlement;
	readonly #random: random.Source;
	readonly #open = new Map<string, Open>();

	constructor(servers: group.Group, settled: settlement.Settlement, source: random.Source = new random.System()) {
		this.#group = servers;
		this.#settlement = settled;
		this.#random = source;
	}

	/** Transactions that are open. */
	get size(): number {
		return this.#open.size;
	}

	/** Whether the session has an open transaction. */
	has(session: string): boolean {
		return this.#open.has(session);
	}

	/**
	Opens a transaction for the request's session. An open one is rolled back, though MySQL would commit it. The permit
	is given back with the connection. `isIdempotent` is that of the request's class.
	*/
	async begin(request: types.Request, permit: admission.Permit, isIdempotent: boolean): Promise<errors.Outcome<types.Answer>> {
		await this.end(request.session);
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			permit.release();
			return acquired;
		}

		const open: Open = {
			connection: acquired.right,
			permit,
			requestId: request.requestId,
			isIdempotent,
			closed: new AbortController(),
			hasWritten: false,
			isBusy: false,
			usedAt: this.#group.clock.now(),
		};
		const outcome = await this.#beginConfirmed(open, request, deadline);
		if (Either.isLeft(outcome)) {
			await this.#close(open, 'dirty');
			return outcome.left.kind === 'position-lost' ? outcome : notRun(outcome.left);
		}

		// Another transaction of the session can be there if its caller came back meanwhile.
		await this.end(request.session);
		this.#open.set(request.session, open);
		void this.#endWhenIdle(request.session, open);
		return outcome;
	}

	/** Executes a statement inside the session's transaction. When its connection is lost, nothing of it has run. */
	async within(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const open = this.#open.get(request.session);
		if (!open) {
			return this.#ended();
		}

		const classified = statement.classify(request.sql);
		if (Either.isRight(classified) && classified.right.isCommitting) {
			// Part of the transaction would be committed without its record, and before its caller says so.
			await this.end(request.session);
			return errors.fail('directive', 'parse', this.#group.name, 'the statement would commit the open transaction, which was rolled back');
		}

		open.hasWritten ||= request.kind === 'write';
		const outcome = await this.#execute(open, request.sql, this.#group.clock.now() + request.deadlineMs);
		if (Either.isRight(outcome) || outcome.left.kind === 'database') {
			return outcome;
		}

		this.#forget(request.session, open);
		await this.#close(open, 'dirty');
		return notRun({...outcome.left, message: `${outcome.left.message}; the transaction was rolled back`});
	}

	/**
	Commits. The answer passes once the policy agrees. A transaction that must not run twice, or that carries a request
	id, writes its record first, by which a lost answer is settled.
	*/
	async commit(request: types.Request, mode: Mode): Promise<errors.Outcome<types.Answer>> {
		const open = this.#open.get(request.session);
		if (!open) {
			return this.#ended();
		}

		this.#forget(request.session, open);
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const key = this.#recordKey(request, open, mode);
		if (key !== undefined) {
			const recorded = await record.insert(open.connection, key, {state: 'done', affectedRows: 0, insertId: 0}, request.deadlineMs);
			if (Either.isLeft(recorded)) {
				await this.#close(open, 'dirty');
				return record.isDuplicate(recorded.left)
					? await this.#settlement.explain(recorded.left, key, deadline)
					?? errors.fail('outcome-unknown', 'settle', recorded.left.peer, 'the server that holds the record has been replaced as primary')
					: notRun({...recorded.left, message: `${recorded.left.message}; the transaction was rolled back`});
			}
		}

		const outcome = await this.#execute(open, request.sql, deadline);
		await this.#close(open, Either.isRight(outcome) ? 'clean' : 'dirty');
		const acknowledged = Either.isRight(outcome) ? await this.#acknowledge(outcome.right, mode.policy, deadline) : outcome;
		const isUnknown = Either.isLeft(acknowledged) && acknowledged.left.kind === 'outcome-unknown';
		return isUnknown && key !== undefined ? this.#settlement.settle(key, deadline) : acknowledged;
	}

	/** Rolls back the session's transaction, if it has one. */
	async end(session: string): Promise<void> {
		const open = this.#open.get(session);
		if (!open) {
			return;
		}

		this.#forget(session, open);
		if (open.isBusy) {
			// It still owes an answer, which must not reach anybody else.
			open.connection.close();
		}

		await this.#close(open, 'dirty');
	}

	/** Key of the transaction's record; `undefined` if it needs none. The class of COMMIT goes before that of BEGIN. */
	#recordKey(request: types.Request, open: Open, mode: Mode): string | undefined {
		const given = request.requestId === '' ? open.requestId : request.requestId;
		const isIdempotent = request.class === '' ? open.isIdempotent : mode.isIdempotent;
		if (given === '' && (isIdempotent || !open.hasWritten)) {
			return undefined;
		}

		return record.id({...request, requestId: given === '' ? this.#random.name() : given});
	}

	/**
	Begins on the server while it is confirmed as primary, so that reads of the transaction see what was acknowledged
	before it. A replaced primary would serve them from its old log.
	*/
	async #beginConfirmed(open: Open, request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer>> {
		const {server} = open.connection;
		const {observed} = this.#group;
		const holder = {server, term: observed.termOf(server)};
		const [outcome, point] = await Promise.all([
			this.#execute(open, request.sql, deadline),
			observed.readPoint(Math.max(1, deadline - this.#group.clock.now())),
		]);
		if (Either.isLeft(outcome) || Either.isLeft(point)) {
			return Either.isLeft(point) ? point : outcome;
		}

		if (!settlement.isContinuous(point.right, holder)) {
			return errors.fail('not-run', 'route', server, 'the server has been replaced as primary');
		}

		const checked = this.#group.checkPosition(server, request.position);
		return Either.isLeft(checked) ? checked : outcome;
	}

	async #execute(open: Open, sql: string, deadline: number): Promise<errors.Outcome<types.Answer>> {
		open.isBusy = true;
		const outcome = await open.connection.execute(sql, Math.max(1, deadline - this.#group.clock.now()));
		open.isBusy = false;
		open.usedAt = this.#group.clock.now();
		return outcome;
	}

	async #acknowledge(answer: types.Answer, policy: acknowledgement.Policy, deadline: number): Promise<errors.Outcome<types.Answer>> {
		if (answer.kind === 'rows' || !answer.position) {
			return Either.right(answer);
		}

		const leftMs = Math.max(1, deadline - this.#group.clock.now());
		const confirmed = await policy.confirm(this.#group.observed, answer.server, answer.position, leftMs);
		return Either.map(() => answer)(confirmed);
	}

	/** The task of an open transaction: ends it once it is idle for too long. */
	async #endWhenIdle(session: string, open: Open): Promise<void> {
		while (!open.closed.signal.aborted) {
			const idleMs = open.isBusy ? 0 : this.#group.clock.now() - open.usedAt;
			if (idleMs >= idleLimitMs) {
				await this.end(session);
				return;
			}

			await this.#group.clock.sleep(idleLimitMs - idleMs, open.closed.signal);
		}
	}

	/** Takes the transaction off its session, which may have another one by now. */
	#forget(session: string, open: Open): void {
		if (this.#open.get(session) === open) {
			this.#open.delete(session);
		}
	}

	async #close(open: Open, residue: pool.Residue): Promise<void> {
		open.closed.abort();
		await this.#group.release(open.connection, residue);
		open.permit.release();
	}

	#ended(): errors.Outcome<never> {
		return errors.fail('not-run', 'route', this.#group.name, 'the transaction has ended and was rolled back');
	}
}

function notRun(failure: errors.Failure): errors.Outcome<never> {
	return Either.left({...failure, kind: 'not-run', code: 0});
}
