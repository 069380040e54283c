/**
Determines by its record in the database whether a request ran after its response was lost. Used by writes and
transactions.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import type * as observer from './observer.js';
import * as record from './record.js';

const retryDelayMs = 20;
/** Timeout in ms of an attempt to insert a record. It leaves time to retry when a connection does not respond. */
const attemptTimeoutMs = 1000;

/** A server with the term in which it was last observed as primary; no term if it was last observed as a replica. */
export type ObservedPrimary = {readonly server: string; readonly term: number | undefined};

/**
Determines the outcome of requests of one group whose response was lost. Record ids come from `record.id`; deadlines are
times of the group's clock.
*/
export class Settlement {
	readonly #group: group.Group;
	/**
	Records are confirmed as durable, whatever the acknowledgement of the request's class. If a `cancelled` record were
	lost with its primary, the request's own commit could survive although its caller received `not-run`.
	*/
	readonly #policy: acknowledgement.Policy;

	constructor(backendGroup: group.Group) {
		this.#group = backendGroup;
		this.#policy = new acknowledgement.Durable(backendGroup.clock);
	}

	/**
	Determines whether a request ran after its response was lost. Inserting a `cancelled` record under the request's id
	prevents the request from committing later. If a record of this id exists already, it gives the outcome.

	Errors: `not-run`; `outcome-unknown` if the outcome can't be determined before the deadline.

	@example
	```
	const outcome = await settlement.settle(record.id(request), deadline);
	```
	*/
	async settle(recordId: string, deadline: number): Promise<errors.Outcome<types.Answer>> {
		while (this.#remainingMs(deadline) > 1) {
			const acquired = await this.#group.acquirePrimary(deadline);
			if (Either.isLeft(acquired)) {
				break;
			}

			const connection = acquired.right;
			const primary = this.#observedPrimary(connection.server);
			const cancelled = await record.insert(connection, recordId, {state: 'cancelled', affectedRows: 0, insertId: 0}, Math.min(attemptTimeoutMs, this.#remainingMs(deadline)));
			const found = Either.isLeft(cancelled) && record.isDuplicate(cancelled.left)
				? await record.find(connection, recordId, this.#remainingMs(deadline))
				: undefined;
			await this.#group.release(connection, 'clean');
			const recordedOutcome = found && Either.isRight(found) && found.right
				? await this.#answerFromRecord(found.right, recordId, primary, deadline)
				: undefined;
			if (recordedOutcome) {
				return recordedOutcome;
			}

			if (Either.isRight(cancelled) && await this.#isDurable(cancelled.right, deadline)) {
				return errors.fail('not-run', 'settle', connection.server, 'the connection was lost and the request was cancelled');
			}

			await this.#group.clock.sleep(retryDelayMs);
		}

		return errors.fail('outcome-unknown', 'settle', this.#group.name, 'the connection was lost and the outcome could not be determined before the deadline');
	}

	/**
	Determines the outcome of a request whose statement failed with a database error. The error, for example a duplicate
	key, may result from an earlier execution of the same request; the request's record then gives the outcome.

	Errors: `failure` itself if there is no record, else those of `settle`. Returns `undefined` if the server that failed
	has been replaced since. The error does not apply to the new primary, on which the request has to be retried.
	*/
	async explain(failure: errors.Failure, recordId: string, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const unsettled = errors.fail('outcome-unknown', 'settle', this.#group.name, `${failure.message}; whether the request ran before could not be determined`);
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return unsettled;
		}

		const primary = this.#observedPrimary(acquired.right.server);
		const found = await record.find(acquired.right, recordId, this.#remainingMs(deadline));
		await this.#group.release(acquired.right, 'clean');
		if (Either.isLeft(found)) {
			return unsettled;
		}

		if (found.right) {
			return await this.#answerFromRecord(found.right, recordId, primary, deadline) ?? unsettled;
		}

		return primary.server === failure.peer ? Either.left(failure) : undefined;
	}

	/**
	The outcome that a record shows, once the record is durable; `undefined` if the server on which it was found has been
	replaced as primary since, because the new primary may not have the record.
	*/
	async #answerFromRecord(found: record.Content, recordId: string, primary: ObservedPrimary, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const readIndex = await this.#group.observer.readIndex(this.#remainingMs(deadline));
		if (Either.isRight(readIndex) && !hasRemainedPrimary(readIndex.right, primary)) {
			return undefined;
		}

		const confirmed = Either.isRight(readIndex)
			? await this.#policy.confirm(this.#group.observer, readIndex.right.server, readIndex.right.position, this.#remainingMs(deadline))
			: readIndex;
		if (Either.isLeft(readIndex) || Either.isLeft(confirmed)) {
			return errors.fail('outcome-unknown', 'settle', this.#group.name, 'the record of the request could not be confirmed before the deadline');
		}

		if (found.state === 'cancelled') {
			return errors.fail('not-run', 'settle', this.#group.name, `request ${recordId} was cancelled; send it again under another id`);
		}

		return Either.right({
			kind: 'ok', affectedRows: found.affectedRows, insertId: found.insertId, position: readIndex.right.position, server: readIndex.right.server,
		});
	}

	async #isDurable(answer: types.Answer, deadline: number): Promise<boolean> {
		const committed = answer.kind === 'ok' ? answer.position : null;
		return committed !== null
			&& Either.isRight(await this.#policy.confirm(this.#group.observer, answer.server, committed, this.#remainingMs(deadline)));
	}

	#observedPrimary(server: string): ObservedPrimary {
		return {server, term: this.#group.observer.primaryTermOf(server)};
	}

	#remainingMs(deadline: number): number {
		return Math.max(1, deadline - this.#group.clock.now());
	}
}

/**
Whether a server has been primary without interruption since it was observed in its term, so that its log lost no entry.
A server becomes primary of a term at most once, and the term begins with a log entry of that term.

@example
```
settlement.hasRemainedPrimary(readIndex, {server: 'a', term: 3});
```
*/
export function hasRemainedPrimary(readIndex: observer.ReadIndex, {server, term}: ObservedPrimary): boolean {
	return readIndex.server === server && readIndex.position.term === term;
}
