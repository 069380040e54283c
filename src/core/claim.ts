/**
How a promoter gains a term. Whatever the policy, each server grants a term to one claimant only, and a term is gained
by a majority, so that two promoters never both have it.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as messages from '../generated/messages.js';
import type * as store from '../store/store.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import type * as control from './control.js';
import * as errors from './errors.js';

/** One attempt to gain a term. */
export type Attempt = {
	readonly group: string;
	readonly term: number;
	/** Unique for each attempt. */
	readonly claimant: string;
	readonly majority: number;
	readonly control: control.Connections;
	/** Servers that are not expected to answer. */
	readonly silent: ReadonlySet<string>;
	/** Time in ms for one call. */
	readonly timeoutMs: number;
	/** For a planned move: the primary stops first, and the target may fetch what it still lacks. */
	readonly handover: {readonly from: string; readonly to: string} | undefined;
};

/** The grants of a majority with the logs as they were then, or why there is none and the highest term seen. */
export type Result =
	| {readonly kind: 'granted'; readonly grants: readonly backend.Status[]}
	| {readonly kind: 'refused'; readonly highestTerm: number; readonly reason: string};

/** Gains terms. */
export abstract class Policy {
	/** Tries to gain a term. Repeating the same attempt is safe. */
	abstract claim(attempt: Attempt): Promise<Result>;
}

/**
Time in ms for which the rest of the servers may still answer after a majority has granted. A server outside the
majority can hold writes that were acknowledged without a replica.
*/
const straggleMs = 50;

/** The servers alone decide. No other system is needed. */
export class Ballot extends Policy {
	readonly #clock: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#clock = time;
	}

	override async claim(attempt: Attempt): Promise<Result> {
		// A term that only a minority adopts would cut these servers off from the present primary.
		if (!await attempt.control.reaches(attempt.majority)) {
			return {kind: 'refused', highestTerm: attempt.term - 1, reason: 'no majority of the servers can be reached'};
		}

		if (attempt.handover) {
			await handOver(attempt, attempt.handover);
		}

		return this.#ask(attempt);
	}

	async #ask(attempt: Attempt): Promise<Result> {
		const grants: backend.Status[] = [];
		const waiting = new Set(attempt.control.servers);
		let {term: highestTerm} = attempt;
		const decided = new Promise<void>(resolve => {
			const ask = async (server: string): Promise<void> => {
				const outcome = await adopt(attempt, server);
				waiting.delete(server);
				if (Either.isRight(outcome)) {
					highestTerm = Math.max(highestTerm, outcome.right.status.term);
					if (outcome.right.granted) {
						grants.push(outcome.right.status);
					}
				}

				const isWon = grants.length >= attempt.majority;
				if (waiting.size === 0 || grants.length + waiting.size < attempt.majority || (isWon && [...waiting].every(name => attempt.silent.has(name)))) {
					resolve();
				} else if (isWon) {
					await this.#clock.sleep(straggleMs);
					resolve();
				}
			};

			for (const server of attempt.control.servers) {
				void ask(server);
			}
		});
		await decided;
		return grants.length >= attempt.majority
			? {kind: 'granted', grants: [...grants]}
			: {kind: 'refused', highestTerm, reason: `${grants.length} of ${attempt.control.servers.length} servers granted term ${attempt.term}`};
	}
}

/**
The store's conditional update of the group's object comes first, then the ballot. For servers that don't record the
claimant of a term; no primary can be replaced while the store is down.
*/
export class Store extends Policy {
	readonly #store: store.Store;
	readonly #ballot: Ballot;

	constructor(platform: store.Store, time: clock.Clock) {
		super();
		this.#store = platform;
		this.#ballot = new Ballot(time);
	}

	override async claim(attempt: Attempt): Promise<Result> {
		const {group, term, claimant} = attempt;
		const content: types.GroupStatus = {term, claimant, primary: ''};
		const reserved = await write(this.#store, group, content, present => present.term < term);
		return Either.isRight(reserved)
			? this.#ballot.claim(attempt)
			: {
				kind: 'refused',
				highestTerm: await this.#highestTerm(reserved.left, group, term),
				reason: errors.describe(reserved.left),
			};
	}

	async #highestTerm(failure: errors.Failure, group: string, term: number): Promise<number> {
		const present = failure.kind === 'conflict' ? await read(this.#store, group) : undefined;
		return present && Either.isRight(present) ? present.right.status.term : term - 1;
	}
}

/**
Writes the group's object unless `mayReplace` objects to the present one. An update whose answer was lost is settled by
reading back.

Errors: `conflict` if another claim or a newer status is there; `store`.

@example
```
await claim.write(store, 'ledgers', {term: 3, claimant, primary: 'b'}, present => present.term <= 3);
```
*/
export async function write(
	platform: store.Store,
	group: string,
	content: types.GroupStatus,
	mayReplace: (present: types.GroupStatus) => boolean,
): Promise<errors.Outcome<void>> {
	const present = await read(platform, group);
	if (Either.isLeft(present)) {
		return present;
	}

	if (!mayReplace(present.right.status)) {
		return errors.fail('conflict', 'claim', group, `the store holds term ${present.right.status.term}`);
	}

	const updated = await platform.update(key(group), JSON.stringify(content), present.right.version);
	if (Either.isRight(updated)) {
		return Either.right(undefined);
	}

	const settled = await read(platform, group);
	const isOurs = Either.isRight(settled) && settled.right.status.claimant === content.claimant
		&& settled.right.status.term === content.term && settled.right.status.primary === content.primary;
	return isOurs ? Either.right(undefined) : updated;
}

async function read(platform: store.Store, group: string): Promise<errors.Outcome<{version: number; status: types.GroupStatus}>> {
	const outcome = await platform.read(key(group));
	return Either.map(({version, value}: store.Entry) => ({version, status: parse(value)}))(outcome);
}

function parse(value: string): types.GroupStatus {
	const nothing = {term: 0, claimant: '', primary: ''};
	try {
		const content: unknown = JSON.parse(value);
		return messages.validateGroupStatus(content) ? content : nothing;
	} catch {
		return nothing;
	}
}

function key(group: string): string {
	return `group/${group}`;
}

async function adopt(attempt: Attempt, server: string): Promise<errors.Outcome<backend.Grant>> {
	return attempt.control.call(server, async connection => connection.adoptTerm(attempt.term, attempt.claimant, attempt.timeoutMs));
}

/** The primary takes no more writes once it has adopted the term, so the target can reach the end of its log. */
async function handOver(attempt: Attempt, {from, to}: {from: string; to: string}): Promise<void> {
	const stopped = await adopt(attempt, from);
	if (Either.isRight(stopped) && stopped.right.granted) {
		const {last} = stopped.right.status;
		await attempt.control.call(to, async connection => connection.wait(last, attempt.timeoutMs / 2, attempt.timeoutMs));
	}
}
