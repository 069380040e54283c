/**
A task that keeps a replica current from the store: a list, then watches from its revision.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';
import type * as replicas from './replica.js';

/** What a follower needs. */
export type Parts<K extends objects.Kind> = {
	readonly replica: replicas.Replica<K>;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** Longest wait in ms of one watch. A connection that went silent is noticed at its end. */
	readonly watchMs: number;
	/** Pause in ms after each change, so that changes which follow each other closely come with one call. */
	readonly pauseMs: number;
};

/**
Bounds in ms of the random pause after a failure, which doubles with each further one: refused calls are billed, and hosts
should not all call a returning store at once. The most is a fraction of the time after which the store counts as stable.
*/
const leastPauseMs = 150;
const mostPauseMs = 1200;

/** Follows one kind. */
export class Follower<K extends objects.Kind> {
	readonly #parts: Parts<K>;
	#isReachable = true;

	constructor(parts: Parts<K>) {
		this.#parts = parts;
	}

	/** Whether the last call to the store succeeded. */
	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Follows until `signal` aborts. What a call gives that ends after that is dropped. */
	async run(signal: AbortSignal): Promise<void> {
		let mustList = false;
		let failures = 0;
		while (!signal.aborted) {
			const {revision} = this.#parts.replica;
			const outcome: errors.Outcome<boolean> = mustList || revision === undefined ? await this.#list(signal) : await this.#watch(revision, signal);
			if (signal.aborted) {
				return;
			}

			this.#judge(outcome);
			if (Either.isLeft(outcome)) {
				const pauseMs = Math.min(mostPauseMs, leastPauseMs * (2 ** failures));
				failures++;
				await this.#parts.clock.sleep(this.#parts.random.integer(pauseMs / 2, pauseMs), signal);
			} else {
				failures = 0;
				mustList = outcome.right;
			}
		}
	}

	/** Lists all objects; those that were known and are not listed are gone. */
	async #list(signal: AbortSignal): Promise<errors.Outcome<boolean>> {
		const {replica, store, clock: time} = this.#parts;
		const startedAt = time.now();
		const outcome = await store.list(replica.kind);
		if (Either.isLeft(outcome) || signal.aborted) {
			return Either.isLeft(outcome) ? outcome : Either.right(false);
		}

		replica.apply({from: undefined, gone: [], ...outcome.right}, startedAt);
		return Either.right(false);
	}

	/** Takes the changes of one watch; right(true) when the history is lost and a list must follow. */
	async #watch(revision: number, signal: AbortSignal): Promise<errors.Outcome<boolean>> {
		const {replica, store, clock: time, watchMs, pauseMs, decisions: record} = this.#parts;
		const outcome = await store.watch(replica.kind, revision, watchMs);
		if (Either.isLeft(outcome) || signal.aborted) {
			return Either.isLeft(outcome) ? outcome : Either.right(false);
		}

		const {changes, isLost} = outcome.right;
		if (isLost) {
			record.record('history-lost', {kind: replica.kind, revision});
			return Either.right(true);
		}

		// The last change of an object is its state.
		const latest = new Map(changes.map(({name, item}) => [name, item]));
		replica.apply({
			from: revision,
			revision: outcome.right.revision,
			items: [...latest.values()].filter(item => item !== undefined),
			gone: [...latest].filter(([, item]) => item === undefined).map(([name]) => name),
		}, time.now());
		if (changes.length > 0 && pauseMs > 0) {
			await time.sleep(pauseMs, signal);
		}

		return Either.right(false);
	}

	#judge(outcome: errors.Outcome<boolean>): void {
		const isReachable = Either.isRight(outcome);
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#parts.decisions.record(isReachable ? 'store-regained' : 'store-lost', {
				kind: this.#parts.replica.kind, revision: this.#parts.replica.revision ?? 0, reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : '',
			});
		}
	}
}
