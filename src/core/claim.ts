/**
Policies for claiming a term before a promotion. Under every policy a server grants a term to one claimant only, and a
claim needs the grants of a majority, so that two claimants never both hold the same term.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as messages from '../generated/messages.js';
import type * as store from '../store/store.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import type * as control from './control.js';
import * as errors from './errors.js';

/** One attempt to claim a term. */
export type Attempt = {
	readonly group: string;
	readonly term: number;
	/** Unique for each attempt. */
	readonly claimant: string;
	readonly majority: number;
	readonly control: control.Connections;
	/** Servers that are not expected to respond. */
	readonly unresponsive: ReadonlySet<string>;
	/** Timeout of one call. */
	readonly timeoutMs: number;
	/** For a planned move: the primary stops writes first, so that the target can fetch the rest of its log. */
	readonly transfer: {readonly from: string; readonly to: string} | undefined;
};

/** The statuses of a majority at the time of their grants, or the reason of the refusal and the highest term reported. */
export type Result =
	| {readonly kind: 'granted'; readonly grants: readonly backend.Status[]}
	| {readonly kind: 'refused'; readonly highestTerm: number; readonly reason: string};

/** Claims terms. */
export abstract class Policy {
	/** Attempts to claim a term. Repeating the same attempt is safe. */
	abstract claim(attempt: Attempt): Promise<Result>;
}

/**
Maximum wait for the remaining servers after a majority has granted the term. A server outside the majority can hold
writes that were acknowledged without a replica.
*/
const stragglerTimeoutMs = 50;

/** Claims a term by the grants of the servers alone, without another system. */
export class Ballot extends Policy {
	readonly #clock: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#clock = time;
	}

	override async claim(attempt: Attempt): Promise<Result> {
		// A term that only a minority adopts would cut that minority off from the current primary.
		if (!await attempt.control.reaches(attempt.majority)) {
			return {kind: 'refused', highestTerm: attempt.term - 1, reason: 'no majority of the servers can be reached'};
		}

		if (attempt.transfer) {
			await transferLog(attempt, attempt.transfer);
		}

		return this.#requestGrants(attempt);
	}

	async #requestGrants(attempt: Attempt): Promise<Result> {
		const grants: backend.Status[] = [];
		const pending = new Set(attempt.control.servers);
		let {term: highestTerm} = attempt;
		const decided = new Promise<void>(resolve => {
			const request = async (server: string): Promise<void> => {
				const outcome = await adopt(attempt, server);
				pending.delete(server);
				if (Either.isRight(outcome)) {
					highestTerm = Math.max(highestTerm, outcome.right.status.term);
					if (outcome.right.granted) {
						grants.push(outcome.right.status);
					}
				}

				const hasMajority = grants.length >= attempt.majority;
				if (pending.size === 0 || grants.length + pending.size < attempt.majority || (hasMajority && [...pending].every(name => attempt.unresponsive.has(name)))) {
					resolve();
				} else if (hasMajority) {
					await this.#clock.sleep(stragglerTimeoutMs);
					resolve();
				}
			};

			for (const server of attempt.control.servers) {
				void request(server);
			}
		});
		await decided;
		return grants.length >= attempt.majority
			? {kind: 'granted', grants: [...grants]}
			: {kind: 'refused', highestTerm, reason: `${grants.length} of ${attempt.control.servers.length} servers granted term ${attempt.term}`};
	}
}

/**
Claims a term by a conditional update of the group's object in the store, then by the ballot. Required for database
servers that don't record the claimant of a term. No primary can be replaced while the store is unavailable.
*/
export class Store extends Policy {
	readonly #store: store.Store;
	readonly #ballot: Ballot;

	constructor(objectStore: store.Store, time: clock.Clock) {
		super();
		this.#store = objectStore;
		this.#ballot = new Ballot(time);
	}

	override async claim(attempt: Attempt): Promise<Result> {
		const {group, term, claimant} = attempt;
		const content: types.GroupStatus = {term, claimant, primary: ''};
		const written = await write(this.#store, group, content, current => current.term < term);
		return Either.isRight(written)
			? this.#ballot.claim(attempt)
			: {
				kind: 'refused',
				highestTerm: await this.#highestTerm(written.left, group, term),
				reason: errors.describe(written.left),
			};
	}

	async #highestTerm(failure: errors.Failure, group: string, term: number): Promise<number> {
		const current = failure.kind === 'conflict' ? await read(this.#store, group) : undefined;
		return current && Either.isRight(current) ? current.right.status.term : term - 1;
	}
}

/**
Writes the group's object if `mayReplace` accepts the current one. If the response to the update is lost, the object is
read back to determine the outcome.

Errors: `conflict` if the store holds another claim or a newer status; `store` if the store fails.

@example
```
await claim.write(store, 'ledgers', {term: 3, claimant, primary: 'b'}, current => current.term <= 3);
```
*/
export async function write(
	objectStore: store.Store,
	group: string,
	content: types.GroupStatus,
	mayReplace: (current: types.GroupStatus) => boolean,
): Promise<errors.Outcome<void>> {
	const current = await read(objectStore, group);
	if (Either.isLeft(current)) {
		return current;
	}

	if (!mayReplace(current.right.status)) {
		return errors.fail('conflict', 'claim', group, `the store holds term ${current.right.status.term}`);
	}

	const updated = await objectStore.update(key(group), JSON.stringify(content), current.right.version);
	if (Either.isRight(updated)) {
		return Either.right(undefined);
	}

	const readBack = await read(objectStore, group);
	const isWritten = Either.isRight(readBack) && readBack.right.status.claimant === content.claimant
		&& readBack.right.status.term === content.term && readBack.right.status.primary === content.primary;
	return isWritten ? Either.right(undefined) : updated;
}

async function read(objectStore: store.Store, group: string): Promise<errors.Outcome<{version: number; status: types.GroupStatus}>> {
	const outcome = await objectStore.read(key(group));
	return Either.map(({version, value}: store.Entry) => ({version, status: parse(value)}))(outcome);
}

function parse(value: string): types.GroupStatus {
	const empty = {term: 0, claimant: '', primary: ''};
	try {
		const content: unknown = JSON.parse(value);
		return messages.validateGroupStatus(content) ? content : empty;
	} catch {
		return empty;
	}
}

function key(group: string): string {
	return `group/${group}`;
}

async function adopt(attempt: Attempt, server: string): Promise<errors.Outcome<backend.Grant>> {
	return attempt.control.call(server, async connection => connection.adoptTerm(attempt.term, attempt.claimant, attempt.timeoutMs));
}

/** Has the primary adopt the term, after which it accepts no writes, then waits until the target has its whole log. */
async function transferLog(attempt: Attempt, {from, to}: {from: string; to: string}): Promise<void> {
	const adopted = await adopt(attempt, from);
	if (Either.isRight(adopted) && adopted.right.granted) {
		const {last} = adopted.right.status;
		await attempt.control.call(to, async connection => connection.wait(last, attempt.timeoutMs / 2, attempt.timeoutMs));
	}
}
