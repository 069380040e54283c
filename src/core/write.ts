/**
Writes outside transactions. They run on the primary and are acknowledged once the class's policy agrees.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import type * as backend from './backend.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import type * as observer from './observer.js';
import * as record from './record.js';

/** MySQL's code with which a server that is not primary refuses a write. */
const codeReadOnly = 1290;
const retryPauseMs = 20;
/** Time in ms after which a connection that does not even answer BEGIN counts as silent, and a new one is tried. */
const beginTimeoutMs = 500;
/** Time in ms for one attempt at settling an outcome, so that a silent connection leaves time for another. */
const settleTimeoutMs = 1000;
/** Share of the time left that the statements may take; the rest is for finding out the outcome if they fail. */
const runShare = 0.7;

/** How a write may be treated. */
export type Mode = {
	/** Whether it may run twice. */
	readonly isIdempotent: boolean;
	/** Whether a record in the same transaction can tell whether it ran. */
	readonly isRecordable: boolean;
	readonly policy: acknowledgement.Policy;
};

/** The outcome of one attempt: final, or worth another attempt. */
type Attempt = {readonly kind: 'final' | 'retry'; readonly outcome: errors.Outcome<types.Answer>};

/** Where a record was found: the server, and the term in which it was seen to be primary before. */
type Place = {readonly server: string; readonly term: number | undefined};

/** Executes writes of one group. */
export class Writer {
	readonly #group: group.Group;
	/**
	For records that decide what a caller is told. A class with a weaker policy could lose the record in a failover,
	and then a request that was reported as not run could come back with the log of an older primary.
	*/
	readonly #durable: acknowledgement.Durable;

	constructor(servers: group.Group) {
		this.#group = servers;
		this.#durable = new acknowledgement.Durable(servers.clock);
	}

	/**
	Executes a write.

	Errors: `database`; `not-run` if it surely did not and will not run; `outcome-unknown`.
	*/
	async execute(request: types.Request, mode: Mode): Promise<errors.Outcome<types.Answer>> {
		const deadline = this.#group.clock.now() + request.deadlineMs;
		let attempt: Attempt;
		let unknown: errors.Outcome<types.Answer> | undefined;
		do {
			attempt = mode.isRecordable && !mode.isIdempotent
				? await this.#attemptRecorded(request, mode, deadline)
				: await this.#attemptPlain(request, mode, deadline);
			if (attempt.kind === 'final') {
				break;
			}

			unknown = isUnknown(attempt.outcome) ? attempt.outcome : unknown;
			await this.#group.clock.sleep(retryPauseMs);
		} while (this.#group.clock.now() < deadline);

		// An earlier attempt may have run, so that a later one which did not settles nothing.
		return unknown && Either.isLeft(attempt.outcome) ? unknown : attempt.outcome;
	}

	async #attemptPlain(request: types.Request, mode: Mode, deadline: number): Promise<Attempt> {
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return {kind: 'final', outcome: acquired};
		}

		const connection = acquired.right;
		const term = this.#termOf(connection.server);
		const outcome = await connection.execute(request.sql, this.#left(deadline));
		await this.#group.release(connection, 'clean');
		if (Either.isRight(outcome)) {
			return outcome.right.kind === 'ok' && outcome.right.position
				? this.#acknowledge(outcome.right, connection.server, mode.policy, deadline)
				: this.#confirmPrimary(outcome.right, term, deadline);
		}

		if (isRefused(outcome.left)) {
			return {kind: 'retry', outcome: refuse(outcome.left)};
		}

		const mayRepeat = outcome.left.kind === 'not-run' || (outcome.left.kind === 'outcome-unknown' && mode.isIdempotent);
		return {kind: mayRepeat ? 'retry' : 'final', outcome};
	}

	/** The statement and its record in one transaction. */
	async #attemptRecorded(request: types.Request, mode: Mode, deadline: number): Promise<Attempt> {
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return {kind: 'final', outcome: acquired};
		}

		const connection = acquired.right;
		const begun = await connection.execute('BEGIN', Math.min(beginTimeoutMs, this.#left(deadline)));
		if (Either.isLeft(begun)) {
			// No byte of the request itself has been sent.
			await this.#group.release(connection, 'dirty');
			return {kind: 'retry', outcome: refuse(begun.left)};
		}

		const outcome = await this.#executeRecorded(connection, request, deadline - (this.#left(deadline) * (1 - runShare)));
		await this.#group.release(connection, Either.isRight(outcome) ? 'clean' : 'dirty');
		if (Either.isRight(outcome)) {
			const acknowledged = await this.#acknowledge(outcome.right, connection.server, mode.policy, deadline);
			return Either.isRight(acknowledged.outcome) ? acknowledged : this.#settle(request, deadline);
		}

		if (isRefused(outcome.left)) {
			return {kind: 'retry', outcome: refuse(outcome.left)};
		}

		if (outcome.left.kind === 'outcome-unknown') {
			return this.#settle(request, deadline);
		}

		return outcome.left.kind === 'database'
			? this.#explain(outcome.left, request, deadline)
			: {kind: 'final', outcome};
	}

	async #executeRecorded(connection: backend.Connection, request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer>> {
		const executed = await connection.execute(request.sql, this.#left(deadline));
		if (Either.isLeft(executed)) {
			return executed;
		}

		const {affectedRows, insertId} = executed.right.kind === 'ok' ? executed.right : {affectedRows: 0, insertId: 0};
		const recorded = await record.insert(connection, record.id(request), {state: 'done', affectedRows, insertId}, this.#left(deadline));
		if (Either.isLeft(recorded)) {
			return recorded;
		}

		const committed = await connection.execute('COMMIT', this.#left(deadline));
		return Either.map((answer: types.Answer): types.Answer => executed.right.kind === 'ok' && answer.kind === 'ok'
			? {...executed.right, position: answer.position}
			: executed.right)(committed);
	}

	async #acknowledge(answer: types.Answer, server: string, policy: acknowledgement.Policy, deadline: number): Promise<Attempt> {
		const committed = answer.kind === 'ok' ? answer.position : null;
		if (!committed) {
			return {kind: 'final', outcome: Either.right(answer)};
		}

		const confirmed = await policy.confirm(this.#group.observed, server, committed, this.#left(deadline));
		return {kind: 'final', outcome: Either.map(() => answer)(confirmed)};
	}

	/**
	An answer without a commit, for example of a locking read or of an update that matched nothing, still comes from a
	server that may have been replaced. It passes if the server is confirmed as primary afterwards.
	*/
	async #confirmPrimary(answer: types.Answer, term: number | undefined, deadline: number): Promise<Attempt> {
		const point = await this.#group.observed.readPoint(this.#left(deadline));
		if (Either.isRight(point) && isContinuous(point.right, answer.server, term)) {
			return {kind: 'final', outcome: Either.right(answer)};
		}

		const reason = Either.isRight(point) ? 'the server that answered has been replaced as primary' : point.left.message;
		return {kind: 'final', outcome: errors.fail('outcome-unknown', 'acknowledge', answer.server, reason)};
	}

	/** An error of the statement may come from an earlier run of the same request, which its record then shows. */
	async #explain(failure: errors.Failure, request: types.Request, deadline: number): Promise<Attempt> {
		const unsettled: Attempt = {
			kind: 'final',
			outcome: errors.fail('outcome-unknown', 'settle', this.#group.name, `${failure.message}; whether the request ran before could not be established`),
		};
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return unsettled;
		}

		const {server} = acquired.right;
		const term = this.#termOf(server);
		const found = await record.find(acquired.right, record.id(request), this.#left(deadline));
		await this.#group.release(acquired.right, 'clean');
		if (Either.isLeft(found)) {
			return unsettled;
		}

		if (found.right) {
			return this.#recall(found.right, request, {server, term}, deadline);
		}

		// An error of a server that has been replaced since says nothing about the new primary.
		return server === failure.peer ? {kind: 'final', outcome: Either.left(failure)} : {...unsettled, kind: 'retry'};
	}

	/**
	Finds out whether a request ran whose answer was lost. A cancelled record of the same id makes sure that it never
	will, unless its own record is there already.
	*/
	async #settle(request: types.Request, deadline: number): Promise<Attempt> {
		const key = record.id(request);
		while (this.#left(deadline) > 1) {
			const acquired = await this.#group.acquirePrimary(deadline);
			if (Either.isLeft(acquired)) {
				break;
			}

			const connection = acquired.right;
			const place = {server: connection.server, term: this.#termOf(connection.server)};
			const cancelled = await record.insert(connection, key, {state: 'cancelled', affectedRows: 0, insertId: 0}, Math.min(settleTimeoutMs, this.#left(deadline)));
			const found = Either.isLeft(cancelled) && record.isDuplicate(cancelled.left)
				? await record.find(connection, key, this.#left(deadline))
				: undefined;
			await this.#group.release(connection, 'clean');
			if (found && Either.isRight(found) && found.right) {
				const recalled = await this.#recall(found.right, request, place, deadline);
				if (recalled.kind === 'final') {
					return recalled;
				}
			}

			if (Either.isRight(cancelled)) {
				const acknowledged = await this.#acknowledge(cancelled.right, connection.server, this.#durable, deadline);
				if (Either.isRight(acknowledged.outcome)) {
					return {kind: 'final', outcome: errors.fail('not-run', 'settle', connection.server, 'the connection was lost and the request was cancelled')};
				}
			}

			await this.#group.clock.sleep(retryPauseMs);
		}

		return {kind: 'final', outcome: errors.fail('outcome-unknown', 'settle', this.#group.name, 'the connection was lost and the outcome could not be settled in time')};
	}

	/**
	The answer that a record stands for, once the record can't be lost any more. If the server on which it was found has
	been replaced meanwhile, the new primary may not hold it, and another attempt has to find out.
	*/
	async #recall(found: record.Found, request: types.Request, place: Place, deadline: number): Promise<Attempt> {
		const point = await this.#group.observed.readPoint(this.#left(deadline));
		if (Either.isRight(point) && !isContinuous(point.right, place.server, place.term)) {
			return {kind: 'retry', outcome: errors.fail('outcome-unknown', 'settle', place.server, 'the server that holds the record has been replaced as primary')};
		}

		const confirmed = Either.isRight(point)
			? await this.#durable.confirm(this.#group.observed, point.right.server, point.right.position, this.#left(deadline))
			: point;
		if (Either.isLeft(point) || Either.isLeft(confirmed)) {
			return {kind: 'final', outcome: errors.fail('outcome-unknown', 'settle', this.#group.name, 'the record of the request could not be confirmed in time')};
		}

		if (found.state === 'cancelled') {
			return {kind: 'final', outcome: errors.fail('not-run', 'settle', this.#group.name, `request ${request.requestId} was cancelled; send it again under another id`)};
		}

		return {
			kind: 'final',
			outcome: Either.right({
				kind: 'ok', affectedRows: found.affectedRows, insertId: found.insertId, position: point.right.position, server: point.right.server,
			}),
		};
	}

	/** The term in which a server was last seen to be primary. */
	#termOf(server: string): number | undefined {
		const status = this.#group.observed.servers.get(server)?.latest?.status;
		return status?.role === 'primary' ? status.term : undefined;
	}

	#left(deadline: number): number {
		return Math.max(1, deadline - this.#group.clock.now());
	}
}

/**
Whether a server has been primary without a break since it was seen in `term`, so that its log lost nothing. A server is
primary of a term once at most, and begins it with an entry of that term.
*/
function isContinuous(point: observer.ReadPoint, server: string, term: number | undefined): boolean {
	return point.server === server && point.position.term === term;
}

function isUnknown(outcome: errors.Outcome<types.Answer>): boolean {
	return Either.isLeft(outcome) && outcome.left.kind === 'outcome-unknown';
}

function isRefused(failure: errors.Failure): boolean {
	return failure.kind === 'database' && failure.code === codeReadOnly;
}

function refuse(failure: errors.Failure): errors.Outcome<never> {
	return Either.left({...failure, kind: 'not-run', code: 0});
}
