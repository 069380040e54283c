/**
Announces a host's address, place and capacity to other hosts through an object in the store.
*/
import * as util from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as caches from './cache.js';
import type * as objects from './objects.js';

export type Options = {
	readonly name: string;
	readonly announcement: types.Announcement;
	readonly store: objects.Objects;
	readonly hosts: caches.Cache<'hosts'>;
	readonly clock: clock.Clock;
	readonly random: random.Source;
};

/** Maximum wait for the list of hosts, which usually has the announcement of an earlier process of this host. */
const listTimeoutMs = 1000;
const listPollMs = 20;
/** Bounds of the random delay before a failed announcement is retried. */
const minBackoffMs = 200;
const maxBackoffMs = 1000;

/** Creates a host's announcement from its settings. */
export function describe({host, listen, processor}: types.EntrySettings): types.Announcement {
	return {
		place: host.place, region: host.region, peer: listen.peer, capacity: processor.share * processor.cores,
	};
}

/** Writes a host's announcement to the store. */
export class Announcer {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Whether the list of hosts has this announcement already. A restart then needs no call to the store. */
	get #isAnnounced(): boolean {
		const {hosts, name, announcement} = this.#options;
		return util.isDeepStrictEqual(hosts.item(name)?.value, announcement);
	}

	/** Announces the host, with retries until it succeeds or `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, random: source, hosts} = this.#options;
		const deadline = time.now() + listTimeoutMs;
		while (!signal.aborted && hosts.revision === undefined && time.now() < deadline) {
			await time.sleep(listPollMs, signal);
		}

		while (!signal.aborted && !this.#isAnnounced && !await this.#announce()) {
			await time.sleep(source.integer(minBackoffMs, maxBackoffMs), signal);
		}
	}

	async #announce(): Promise<boolean> {
		const {store, name, announcement} = this.#options;
		const outcome = await store.create('hosts', name, announcement);
		if (Either.isLeft(outcome) && outcome.left.kind === 'conflict') {
			return this.#replace();
		}

		return Either.isRight(outcome);
	}

	/** Replaces the announcement of an earlier process of this host, whose address may differ. */
	async #replace(): Promise<boolean> {
		const {store, name, announcement} = this.#options;
		const found = await store.read('hosts', name);
		if (Either.isLeft(found) || !found.right) {
			return false;
		}

		return util.isDeepStrictEqual(found.right.value, announcement) || Either.isRight(await store.replace('hosts', name, announcement, found.right.revision));
	}
}
