/**
Writes outside transactions. They run on the primary and are acknowledged once the class's policy confirms the commit.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import type * as admission from './admission.js';
import type * as backend from './backend.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import * as record from './record.js';
import type * as retry from './retry.js';
import * as settlement from './settlement.js';

/** MySQL's error code of a server that refuses a write because it is read-only, so not primary. */
const codeReadOnly = 1290;
const retryDelayMs = 20;
/** Longest wait for a new status of a server that failed a write, to learn whether the server is still primary. */
const refreshTimeoutMs = 500;
/** Timeout of BEGIN. A connection that does not respond to it counts as lost, and the write is retried on another. */
const beginTimeoutMs = 500;
/** Fraction of the remaining time for the statements; the rest is for determining the outcome if they fail. */
const executionFraction = 0.7;

/** Options of a write, from its class and its statement. */
export type Options = {
	/** Whether the write may safely run twice. */
	readonly isIdempotent: boolean;
	/** Whether a record in the same transaction can show whether the write ran. */
	readonly isRecordable: boolean;
	readonly policy: acknowledgement.Policy;
	/** Released together with the connection, so that other writes can run while replicas confirm this one. */
	readonly permit: admission.Permit;
};

/** The outcome of one attempt, and whether it is final or another attempt may follow. */
type Attempt = {readonly kind: 'final' | 'retry'; readonly outcome: errors.Outcome<types.Answer>};

/** Executes the writes of one group. */
export class Writer {
	readonly #group: group.Group;
	readonly #retries: retry.Budget;
	readonly #settlement: settlement.Settlement;

	constructor(backendGroup: group.Group, retries: retry.Budget, resolver: settlement.Settlement) {
		this.#group = backendGroup;
		this.#retries = retries;
		this.#settlement = resolver;
	}

	/**
	Executes a write.

	Errors: `database`; `not-run` if the write has not run and never will; `outcome-unknown`.
	*/
	async execute(request: types.Request, options: Options): Promise<errors.Outcome<types.Answer>> {
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const attempts = this.#retries.startRequest();
		let outcome: errors.Outcome<types.Answer> = errors.fail('not-run', 'route', this.#group.name, 'the deadline passed before the first attempt');
		let unknown: errors.Outcome<types.Answer> | undefined;
		while (this.#group.clock.now() < deadline) {
			if (!attempts.next()) {
				outcome = Either.mapLeft((failure: errors.Failure): errors.Failure => failure.kind === 'not-run'
					? {...failure, step: 'admit', message: `${failure.message}; the retry budget is exhausted`}
					: failure)(outcome);
				break;
			}

			const attempt = options.isRecordable && !options.isIdempotent
				? await this.#attemptRecorded(request, options, deadline)
				: await this.#attemptUnrecorded(request, options, deadline);
			outcome = attempt.outcome;
			if (attempt.kind === 'final' || Either.isRight(outcome)) {
				break;
			}

			unknown = isUnknown(outcome) ? outcome : unknown;
			await this.#refreshStatus(outcome.left, deadline);
		}

		// An earlier attempt may have run, so the failure of a later one does not mean that the write did not run.
		return unknown && Either.isLeft(outcome) ? unknown : outcome;
	}

	/** Updates the status of a server that failed a write, so that the next attempt does not go to a replaced primary. */
	async #refreshStatus({peer}: errors.Failure, deadline: number): Promise<void> {
		await this.#group.observer.servers.get(peer)?.observe(Math.min(refreshTimeoutMs, this.#remainingMs(deadline)));
		await this.#group.clock.sleep(retryDelayMs);
	}

	async #attemptUnrecorded(request: types.Request, options: Options, deadline: number): Promise<Attempt> {
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return {kind: 'final', outcome: acquired};
		}

		const connection = acquired.right;
		const primary = {server: connection.server, term: this.#group.observer.primaryTermOf(connection.server)};
		const outcome = await connection.execute(request.sql, this.#remainingMs(deadline));
		// Statements other than row changes may leave locks or temporary tables on the connection.
		await this.#group.release(connection, options.isRecordable ? 'clean' : 'dirty');
		if (Either.isRight(outcome)) {
			options.permit.release();
			const acknowledged = acknowledgement.hasPosition(outcome.right)
				? await this.#acknowledge(outcome.right, connection.server, options.policy, deadline)
				: await this.#confirmPrimary(outcome.right, primary, deadline);
			return Either.isLeft(acknowledged.outcome) && options.isIdempotent ? {...acknowledged, kind: 'retry'} : acknowledged;
		}

		if (isReadOnlyError(outcome.left)) {
			return {kind: 'retry', outcome: notRun(outcome.left)};
		}

		const mayRepeat = outcome.left.kind === 'not-run' || (outcome.left.kind === 'outcome-unknown' && options.isIdempotent);
		return {kind: mayRepeat ? 'retry' : 'final', outcome};
	}

	/** Executes the statement and inserts its record in one transaction. */
	async #attemptRecorded(request: types.Request, options: Options, deadline: number): Promise<Attempt> {
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return {kind: 'final', outcome: acquired};
		}

		const connection = acquired.right;
		const begun = await connection.execute('BEGIN', Math.min(beginTimeoutMs, this.#remainingMs(deadline)));
		if (Either.isLeft(begun)) {
			// The statement itself has not been sent.
			await this.#group.release(connection, 'dirty');
			return {kind: 'retry', outcome: notRun(begun.left)};
		}

		const outcome = await this.#executeRecorded(connection, request, deadline - (this.#remainingMs(deadline) * (1 - executionFraction)));
		await this.#group.release(connection, Either.isRight(outcome) ? 'clean' : 'dirty');
		if (Either.isRight(outcome)) {
			options.permit.release();
			const acknowledged = acknowledgement.hasPosition(outcome.right) ? await this.#acknowledge(outcome.right, connection.server, options.policy, deadline) : undefined;
			return acknowledged && Either.isRight(acknowledged.outcome)
				? acknowledged
				: {kind: 'final', outcome: await this.#settlement.settle(record.id(request), deadline)};
		}

		if (isReadOnlyError(outcome.left)) {
			return {kind: 'retry', outcome: notRun(outcome.left)};
		}

		if (outcome.left.kind === 'outcome-unknown') {
			return {kind: 'final', outcome: await this.#settlement.settle(record.id(request), deadline)};
		}

		const explained = outcome.left.kind === 'database'
			? await this.#settlement.explain(outcome.left, record.id(request), deadline)
			: outcome;
		return explained
			? {kind: 'final', outcome: explained}
			: {kind: 'retry', outcome: notRun(outcome.left)};
	}

	async #executeRecorded(connection: backend.Connection, request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer>> {
		const executed = await connection.execute(request.sql, this.#remainingMs(deadline));
		if (Either.isLeft(executed)) {
			return executed;
		}

		const {affectedRows, insertId} = executed.right.kind === 'ok' ? executed.right : {affectedRows: 0, insertId: 0};
		const recorded = await record.insert(connection, record.id(request), {state: 'done', affectedRows, insertId}, this.#remainingMs(deadline));
		if (Either.isLeft(recorded)) {
			return recorded;
		}

		const committed = await connection.execute('COMMIT', this.#remainingMs(deadline));
		return Either.map((answer: types.Answer): types.Answer => executed.right.kind === 'ok' && answer.kind === 'ok'
			? {...executed.right, position: answer.position}
			: executed.right)(committed);
	}

	async #acknowledge(answer: types.Answer, server: string, policy: acknowledgement.Policy, deadline: number): Promise<Attempt> {
		if (!acknowledgement.hasPosition(answer)) {
			return {kind: 'final', outcome: Either.right(answer)};
		}

		const confirmed = await policy.confirm(this.#group.observer, server, answer.position, this.#remainingMs(deadline));
		return {kind: 'final', outcome: Either.map(() => answer)(confirmed)};
	}

	/**
	Confirms an answer that has no commit, for example of a locking read or of an update that matched no row. Its server
	may have been replaced, so the answer is valid only if the server is confirmed as primary afterwards.
	*/
	async #confirmPrimary(answer: types.Answer, primary: settlement.ObservedPrimary, deadline: number): Promise<Attempt> {
		const readIndex = await this.#group.observer.readIndex(this.#remainingMs(deadline));
		if (Either.isRight(readIndex) && settlement.hasRemainedPrimary(readIndex.right, primary)) {
			return {kind: 'final', outcome: Either.right(answer)};
		}

		const reason = Either.isRight(readIndex) ? 'the server that answered has been replaced as primary' : readIndex.left.message;
		return {kind: 'final', outcome: errors.fail('outcome-unknown', 'acknowledge', answer.server, reason)};
	}

	#remainingMs(deadline: number): number {
		return Math.max(1, deadline - this.#group.clock.now());
	}
}

function isUnknown(outcome: errors.Outcome<types.Answer>): boolean {
	return Either.isLeft(outcome) && outcome.left.kind === 'outcome-unknown';
}

function isReadOnlyError(failure: errors.Failure): boolean {
	return failure.kind === 'database' && failure.code === codeReadOnly;
}

function notRun(failure: errors.Failure): errors.Outcome<never> {
	return Either.left({...failure, kind: 'not-run', code: 0});
}
