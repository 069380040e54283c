/**
Keeps the in-sync sets in the store current. A set is read when a host starts, and changed by a conditional update, by the
first host that sees the change.
*/
import * as util from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as group from './group.js';
import type * as objects from './objects.js';
import * as revisions from './revision.js';

export type Options = {
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** The revision up to which this host knows the store; a newer generation may have lost a set. */
	readonly revision: () => number;
};

type Item = objects.Item<'in-sync'>;

/** Bounds of the random delay between two checks, so that hosts don't all write the same change. */
const minDelayMs = 250;
const maxDelayMs = 750;
/** Delay between two checks of a service without work, whose servers are not polled. */
const idleDelayMs = 2000;
/** Delay after a failed call: refused calls are billed. */
const retryDelayMs = 2000;
/** Interval of reading a set that needs no change, in case a host with an older view has changed it. */
const recheckIntervalMs = 60_000;

/** The in-sync sets of all services, as known to one host. */
export class Recorder {
	readonly #options: Options;
	#items: Promise<ReadonlyMap<string, Item>> | undefined;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Gives the group its stored set and keeps it current until `signal` aborts. */
	async run(serviceGroup: group.Group, signal: AbortSignal): Promise<void> {
		const {clock: time, random: source} = this.#options;
		this.#items ??= this.#load(signal);
		const items = await this.#items;
		let known = items.get(serviceGroup.name);
		let readAt = time.now();
		let readRevision = this.#options.revision();
		serviceGroup.adopt(known?.value?.servers);
		while (!signal.aborted) {
			await time.sleep(serviceGroup.isActive ? source.integer(minDelayMs, maxDelayMs) : idleDelayMs, signal);
			const servers = serviceGroup.inSync;
			const isOutdated = isOfNewerGeneration(this.#options.revision(), readRevision) || time.now() - readAt > recheckIntervalMs;
			if (!servers || (!isOutdated && util.isDeepStrictEqual(known?.value?.servers, servers))) {
				continue;
			}

			const revision = this.#options.revision();
			const outcome = await this.#update(serviceGroup);
			if (Either.isLeft(outcome)) {
				await time.sleep(retryDelayMs, signal);
				continue;
			}

			known = outcome.right;
			readAt = time.now();
			readRevision = revision;
		}
	}

	/** Reads all sets. They are needed before a promotion, which needs the store as well. */
	async #load(signal: AbortSignal): Promise<ReadonlyMap<string, Item>> {
		while (!signal.aborted) {
			const outcome = await this.#options.store.list('in-sync');
			if (Either.isRight(outcome)) {
				return new Map(outcome.right.items.map(item => [item.name, item]));
			}

			await this.#options.clock.sleep(this.#options.random.integer(minDelayMs, maxDelayMs), signal);
		}

		return new Map();
	}

	/** Reads a set and replaces it if it isn't that of the group. Returns what the store has then. */
	async #update(serviceGroup: group.Group): Promise<errors.Outcome<Item | undefined>> {
		const {store, decisions: record} = this.#options;
		const {name} = serviceGroup;
		const found = await store.read('in-sync', name);
		if (Either.isLeft(found)) {
			return found;
		}

		serviceGroup.adopt(found.right?.value?.servers);
		const servers = serviceGroup.inSync;
		if (!servers || util.isDeepStrictEqual(found.right?.value?.servers, servers)) {
			return found;
		}

		const written = await (found.right ? store.replace('in-sync', name, {servers}, found.right.revision) : store.create('in-sync', name, {servers}));
		record.record('in-sync-recorded', {
			service: name, servers: servers.map(({id}) => id).join(' '), result: Either.isRight(written) ? 'stored' : errors.describe(written.left),
		});
		if (Either.isRight(written)) {
			serviceGroup.adopt(servers);
		}

		return written;
	}
}

function isOfNewerGeneration(revision: number, than: number): boolean {
	return revisions.split(revision).generation > revisions.split(than).generation;
}
