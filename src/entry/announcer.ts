/**
Announces a host's address, place and capacity to other hosts through an object in the store, and again if the store has
lost the object.
*/
import * as util from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as caches from './cache.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';
import * as revisions from './revision.js';

export type Options = {
	readonly name: string;
	readonly announcement: types.Announcement;
	readonly store: objects.Objects;
	readonly hosts: caches.Cache<'hosts'>;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
};

/** Maximum wait for the list of hosts, which usually has the announcement of an earlier process of this host. */
const listTimeoutMs = 1000;
const listPollMs = 20;
/** Bounds of the random delay before a failed announcement is retried, or before the list of hosts is checked again. */
const minDelayMs = 200;
const maxDelayMs = 1000;

/** Creates a host's announcement from its settings. */
export function describe({host, listen, processor}: types.EntrySettings): types.Announcement {
	return {
		place: host.place, region: host.region, peer: listen.peer, capacity: processor.share * processor.cores,
	};
}

/** Keeps a host's announcement in the store. */
export class Announcer {
	readonly #options: Options;
	/** Revision at which the store had the announcement; newer than the list of hosts just after a write. */
	#announcedAt = Number.NEGATIVE_INFINITY;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Whether the store has this announcement, as far as is known. A restart then needs no call to the store. */
	get #isAnnounced(): boolean {
		const {hosts, name, announcement} = this.#options;
		const {revision: listedAt = 0} = hosts;
		if (listedAt <= this.#announcedAt) {
			// The list doesn't have this host's last write yet.
			return true;
		}

		const listed = hosts.item(name);
		if (!listed || revisions.split(listed.revision).generation < revisions.split(listedAt).generation) {
			// The list may still have an announcement that a restored store has lost.
			return false;
		}

		return util.isDeepStrictEqual(listed.value, announcement);
	}

	/** Announces the host whenever the store lacks the announcement, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, random: source, hosts} = this.#options;
		const deadline = time.now() + listTimeoutMs;
		while (!signal.aborted && hosts.revision === undefined && time.now() < deadline) {
			await time.sleep(listPollMs, signal);
		}

		while (!signal.aborted) {
			if (!this.#isAnnounced) {
				await this.#announce();
			}

			await time.sleep(source.integer(minDelayMs, maxDelayMs), signal);
		}
	}

	async #announce(): Promise<void> {
		const {store, name, announcement, decisions: record} = this.#options;
		const created = await store.create('hosts', name, announcement);
		const outcome = Either.isLeft(created) && created.left.kind === 'conflict' ? await this.#replace() : created;
		record.record('host-announced', {
			peer: announcement.peer, result: Either.isRight(outcome) ? 'stored' : 'failed', reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : '',
		});
		if (Either.isRight(outcome)) {
			this.#announcedAt = outcome.right.revision;
		}
	}

	/** Replaces the announcement of an earlier process of this host, whose address may differ. */
	async #replace(): Promise<errors.Outcome<objects.Item<'hosts'>>> {
		const {store, name, announcement} = this.#options;
		const found = await store.read('hosts', name);
		if (Either.isLeft(found)) {
			return found;
		}

		if (!found.right) {
			return errors.fail('store', 'store', name, 'the announcement is gone');
		}

		return util.isDeepStrictEqual(found.right.value, announcement) ? Either.right(found.right) : store.replace('hosts', name, announcement, found.right.revision);
	}
}
