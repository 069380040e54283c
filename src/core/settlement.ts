/**
What became of a request whose answer was lost, by its record in the database. Writes and transactions share it.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import type * as observer from './observer.js';
import * as record from './record.js';

const pauseMs = 20;
/** Time in ms for one attempt at settling an outcome, so that a silent connection leaves time for another. */
const attemptTimeoutMs = 1000;

/** Where a record was found: a server, and the term in which it was last seen to be primary. */
export type Holder = {readonly server: string; readonly term: number | undefined};

/** Settles requests of one group. Keys are those of `record.id`; deadlines are times of the clock. */
export class Settlement {
	readonly #group: group.Group;
	/**
	Whatever the class of the request says, the record itself must not be lost with a primary: a cancelled one that was
	lost would let the request's own commit survive after its caller was told `not-run`.
	*/
	readonly #policy: acknowledgement.Policy;

	constructor(servers: group.Group) {
		this.#group = servers;
		this.#policy = new acknowledgement.Durable(servers.clock);
	}

	/**
	Finds out whether a request ran whose answer was lost. A cancelled record of the same id makes sure that it never
	will, unless its own record is there already.

	Errors: `not-run`, or `outcome-unknown` when neither can be established by the deadline.

	@example
	```
	const outcome = await settlement.settle(record.id(request), deadline);
	```
	*/
	async settle(key: string, deadline: number): Promise<errors.Outcome<types.Answer>> {
		while (this.#left(deadline) > 1) {
			const acquired = await this.#group.acquirePrimary(deadline);
			if (Either.isLeft(acquired)) {
				break;
			}

			const connection = acquired.right;
			const holder = this.#holder(connection.server);
			const cancelled = await record.insert(connection, key, {state: 'cancelled', affectedRows: 0, insertId: 0}, Math.min(attemptTimeoutMs, this.#left(deadline)));
			const found = Either.isLeft(cancelled) && record.isDuplicate(cancelled.left)
				? await record.find(connection, key, this.#left(deadline))
				: undefined;
			await this.#group.release(connection, 'clean');
			const recalled = found && Either.isRight(found) && found.right
				? await this.#recall(found.right, key, holder, deadline)
				: undefined;
			if (recalled) {
				return recalled;
			}

			if (Either.isRight(cancelled) && await this.#isKept(cancelled.right, deadline)) {
				return errors.fail('not-run', 'settle', connection.server, 'the connection was lost and the request was cancelled');
			}

			await this.#group.clock.sleep(pauseMs);
		}

		return errors.fail('outcome-unknown', 'settle', this.#group.name, 'the connection was lost and the outcome could not be settled in time');
	}

	/**
	An error of a statement may come from an earlier run of the same request, which its record then shows.

	Errors: the failure itself if there is no record, else as `settle`. Gives `undefined` when the server that failed has
	been replaced since: its error says nothing about the new primary, which has to be tried.
	*/
	async explain(failure: errors.Failure, key: string, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const unsettled = errors.fail('outcome-unknown', 'settle', this.#group.name, `${failure.message}; whether the request ran before could not be established`);
		const acquired = await this.#group.acquirePrimary(deadline);
		if (Either.isLeft(acquired)) {
			return unsettled;
		}

		const holder = this.#holder(acquired.right.server);
		const found = await record.find(acquired.right, key, this.#left(deadline));
		await this.#group.release(acquired.right, 'clean');
		if (Either.isLeft(found)) {
			return unsettled;
		}

		if (found.right) {
			return await this.#recall(found.right, key, holder, deadline) ?? unsettled;
		}

		return holder.server === failure.peer ? Either.left(failure) : undefined;
	}

	/**
	The answer that a record stands for, once the record can't be lost any more; `undefined` if the server on which it
	was found has been replaced meanwhile, since the new primary may not hold it.
	*/
	async #recall(found: record.Found, key: string, holder: Holder, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const point = await this.#group.observed.readPoint(this.#left(deadline));
		if (Either.isRight(point) && !isContinuous(point.right, holder)) {
			return undefined;
		}

		const confirmed = Either.isRight(point)
			? await this.#policy.confirm(this.#group.observed, point.right.server, point.right.position, this.#left(deadline))
			: point;
		if (Either.isLeft(point) || Either.isLeft(confirmed)) {
			return errors.fail('outcome-unknown', 'settle', this.#group.name, 'the record of the request could not be confirmed in time');
		}

		if (found.state === 'cancelled') {
			return errors.fail('not-run', 'settle', this.#group.name, `request ${key} was cancelled; send it again under another id`);
		}

		return Either.right({
			kind: 'ok', affectedRows: found.affectedRows, insertId: found.insertId, position: point.right.position, server: point.right.server,
		});
	}

	async #isKept(answer: types.Answer, deadline: number): Promise<boolean> {
		const committed = answer.kind === 'ok' ? answer.position : null;
		return committed !== null
			&& Either.isRight(await this.#policy.confirm(this.#group.observed, answer.server, committed, this.#left(deadline)));
	}

	#holder(server: string): Holder {
		return {server, term: this.#group.observed.termOf(server)};
	}

	#left(deadline: number): number {
		return Math.max(1, deadline - this.#group.clock.now());
	}
}

/**
Whether a server has been primary without a break since it was seen in its term, so that its log lost nothing. A server
is primary of a term once at most, and begins it with an entry of that term.

@example
```
settlement.isContinuous(point, {server: 'a', term: 3});
```
*/
export function isContinuous(point: observer.ReadPoint, {server, term}: Holder): boolean {
	return point.server === server && point.position.term === term;
}
