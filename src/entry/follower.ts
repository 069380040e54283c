/**
Keeps one cache current from the store: lists all objects, then watches for changes from the revision of the list.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';
import type * as caches from './cache.js';

export type Options<K extends objects.Kind> = {
	readonly cache: caches.Cache<K>;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** Longest wait of one watch, which also bounds the time to detect a dead connection. */
	readonly watchMs: number;
	/**
	Delay between the list at the start and the first watch. Most hosts have found an observer by then and need no watch,
	which matters when a whole fleet starts at once.
	*/
	readonly firstWatchDelayMs: number;
	/** Delay after each change, so that changes in quick succession are fetched in one call. */
	readonly coalesceMs: number;
};

/**
Bounds of the exponential backoff with jitter after failures. Refused calls are billed, and hosts must not all call a
recovering store at once. The maximum is a fraction of the time after which the store counts as stable.
*/
const minBackoffMs = 150;
const maxBackoffMs = 1200;

/** Follows the store's objects of one kind. */
export class Follower<K extends objects.Kind> {
	readonly #options: Options<K>;
	#isReachable = true;

	constructor(options: Options<K>) {
		this.#options = options;
	}

	/** Whether the last call to the store succeeded. */
	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Runs until `signal` aborts. The result of a call that ends later is discarded. */
	async run(signal: AbortSignal): Promise<void> {
		let mustList = false;
		let failures = 0;
		while (!signal.aborted) {
			const {revision} = this.#options.cache;
			const isFirst = revision === undefined;
			const outcome: errors.Outcome<boolean> = mustList || revision === undefined ? await this.#list(signal) : await this.#watch(revision, signal);
			if (signal.aborted) {
				return;
			}

			this.#updateReachability(outcome);
			if (Either.isLeft(outcome)) {
				const backoffMs = Math.min(maxBackoffMs, minBackoffMs * (2 ** failures));
				failures++;
				await this.#options.clock.sleep(this.#options.random.integer(backoffMs / 2, backoffMs), signal);
			} else {
				failures = 0;
				mustList = outcome.right;
				await this.#options.clock.sleep(isFirst ? this.#options.firstWatchDelayMs : 0, signal);
			}
		}
	}

	/** Replaces the cache's contents by a list of all objects. Fails if the list is older than the cache was before the call; the cache ignores such a list. */
	async #list(signal: AbortSignal): Promise<errors.Outcome<boolean>> {
		const {cache, store, clock: time, decisions: record} = this.#options;
		const startedAt = time.now();
		const {revision = 0} = cache;
		const outcome = await store.list(cache.kind);
		if (Either.isLeft(outcome) || signal.aborted) {
			return Either.isLeft(outcome) ? outcome : Either.right(false);
		}

		this.#recordUnreadable(outcome.right.unreadable);
		const listed = outcome.right.revision;
		if (listed < revision) {
			record.record('list-ignored', {kind: cache.kind, revision, listed});
			return errors.fail('store', 'store', cache.kind, `the list has revision ${listed}, the cache had ${revision} before`);
		}

		cache.apply({
			from: undefined, gone: [], items: outcome.right.items, revision: listed,
		}, startedAt);
		return Either.right(false);
	}

	/** Applies the changes of one watch. Returns right(true) if the store has discarded the changes after `revision`, so that a list is required. */
	async #watch(revision: number, signal: AbortSignal): Promise<errors.Outcome<boolean>> {
		const {cache, store, clock: time, watchMs, coalesceMs, decisions: record} = this.#options;
		const outcome = await store.watch(cache.kind, revision, watchMs, signal);
		if (Either.isLeft(outcome) || signal.aborted) {
			return Either.isLeft(outcome) ? outcome : Either.right(false);
		}

		const {changes, isLost: isHistoryLost, unreadable} = outcome.right;
		this.#recordUnreadable(unreadable);
		if (isHistoryLost) {
			record.record('history-lost', {kind: cache.kind, revision});
			return Either.right(true);
		}

		// Only the last change of each object counts.
		const latest = new Map(changes.map(({name, item}) => [name, item]));
		cache.apply({
			from: revision,
			revision: outcome.right.revision,
			items: [...latest.values()].filter(item => item !== undefined),
			gone: [...latest].filter(([, item]) => item === undefined).map(([name]) => name),
		}, time.now());
		if (changes.length > 0 && coalesceMs > 0) {
			await time.sleep(coalesceMs, signal);
		}

		return Either.right(false);
	}

	#recordUnreadable(faults: readonly string[]): void {
		for (const fault of faults) {
			this.#options.decisions.record('object-unreadable', {kind: this.#options.cache.kind, name: '', fault});
		}
	}

	#updateReachability(outcome: errors.Outcome<boolean>): void {
		const isReachable = Either.isRight(outcome);
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#options.decisions.record(isReachable ? 'store-regained' : 'store-lost', {
				kind: this.#options.cache.kind, revision: this.#options.cache.revision ?? 0, reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : '',
			});
		}
	}
}
