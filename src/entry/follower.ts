/**
A task that follows the objects of one kind in the store: a list, then watches from its revision.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';

/** What a follower needs. */
export type Parts<K extends objects.Kind> = {
	readonly kind: K;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** Longest wait in ms of one watch. A connection that went silent is noticed at its end. */
	readonly watchMs: number;
	/** Takes an object's present state; without an item it is gone. */
	readonly take: (name: string, item: objects.Item<K> | undefined) => void;
};

/** Bounds in ms of the random pause after a failure, so that hosts don't all call a returning store at once. */
const leastPauseMs = 100;
const mostPauseMs = 400;

/** Follows one kind. */
export class Follower<K extends objects.Kind> {
	readonly #parts: Parts<K>;
	readonly #known = new Set<string>();
	#revision: number | undefined;
	#isReachable = true;

	constructor(parts: Parts<K>) {
		this.#parts = parts;
	}

	/** Whether the objects were read at least once. */
	get isStarted(): boolean {
		return this.#revision !== undefined;
	}

	/** Whether the last call to the store succeeded. */
	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Follows until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let mustList = true;
		while (!signal.aborted) {
			const outcome: errors.Outcome<boolean> = mustList || this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision);
			this.#judge(outcome);
			if (Either.isLeft(outcome)) {
				await this.#parts.clock.sleep(this.#parts.random.integer(leastPauseMs, mostPauseMs), signal);
			} else {
				mustList = outcome.right;
			}
		}
	}

	/** Lists all objects; those that were known and are not listed are gone. */
	async #list(): Promise<errors.Outcome<boolean>> {
		const outcome = await this.#parts.store.list(this.#parts.kind);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {items, revision} = outcome.right;
		const listed = new Set(items.map(({name}) => name));
		for (const name of [...this.#known].filter(known => !listed.has(known))) {
			this.#take(name, undefined);
		}

		for (const item of items) {
			this.#take(item.name, item);
		}

		this.#revision = revision;
		return Either.right(false);
	}

	/** Takes the changes of one watch; right(true) when the history is lost and a list must follow. */
	async #watch(revision: number): Promise<errors.Outcome<boolean>> {
		const outcome = await this.#parts.store.watch(this.#parts.kind, revision, this.#parts.watchMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {changes, isLost} = outcome.right;
		if (isLost) {
			this.#parts.decisions.record('history-lost', {kind: this.#parts.kind, revision});
			return Either.right(true);
		}

		for (const {name, item} of changes) {
			this.#take(name, item);
		}

		this.#revision = outcome.right.revision;
		return Either.right(false);
	}

	#take(name: string, item: objects.Item<K> | undefined): void {
		if (item) {
			this.#known.add(name);
		} else {
			this.#known.delete(name);
		}

		if (item && item.value === undefined) {
			this.#parts.decisions.record('object-unreadable', {
				kind: this.#parts.kind, name, revision: item.revision, fault: item.fault,
			});
		}

		this.#parts.take(name, item);
	}

	#judge(outcome: errors.Outcome<boolean>): void {
		const isReachable = Either.isRight(outcome);
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#parts.decisions.record(isReachable ? 'store-regained' : 'store-lost', {
				kind: this.#parts.kind, revision: this.#revision ?? 0, reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : '',
			});
		}
	}
}
