/**
The object by which a host tells the others that it exists, and where they reach it.
*/
import * as util from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as objects from './objects.js';

/** What an announcer needs. */
export type Parts = {
	readonly name: string;
	readonly announcement: types.Announcement;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
};

/** Bounds in ms of the random pause before a host announces itself again to a store that did not answer. */
const leastPauseMs = 200;
const mostPauseMs = 1000;

/** What a host says of itself to the others. */
export function describe({host, listen, processor}: types.EntrySettings): types.Announcement {
	return {
		place: host.place, region: host.region, peer: listen.peer, capacity: processor.share * processor.cores,
	};
}

/** Writes a host's object. */
export class Announcer {
	readonly #parts: Parts;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Announces the host, however often the store fails, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, random: source} = this.#parts;
		while (!signal.aborted && !await this.#announce()) {
			await time.sleep(source.integer(leastPauseMs, mostPauseMs), signal);
		}
	}

	async #announce(): Promise<boolean> {
		const {store, name, announcement} = this.#parts;
		const outcome = await store.create('hosts', name, announcement);
		if (Either.isLeft(outcome) && outcome.left.kind === 'conflict') {
			return this.#replace();
		}

		return Either.isRight(outcome);
	}

	/** Renews the object of an earlier process of this host, whose address may differ. */
	async #replace(): Promise<boolean> {
		const {store, name, announcement} = this.#parts;
		const found = await store.read('hosts', name);
		if (Either.isLeft(found) || !found.right) {
			return false;
		}

		return util.isDeepStrictEqual(found.right.value, announcement) || Either.isRight(await store.replace('hosts', name, announcement, found.right.revision));
	}
}
