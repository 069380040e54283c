/**
A local copy of an object in the platform's store. It is updated by a watch on the store, and from peers that report a
newer version. While the store does not respond, subclasses may poll the seeds.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as types from '../generated/types.js';
import type * as connection from '../peer/connection.js';
import type * as links from '../peer/links.js';
import type * as store from '../store/store.js';
import type * as log from './log.js';

/** Dependencies of `Cache`. */
export type Options = {
	readonly store: store.Store;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly logger: log.Logger;
	readonly links: links.Links;
	/** Addresses of the peers in the settings, except this host. */
	readonly seeds: () => readonly string[];
	readonly timing: types.Timing;
	/** Called after each update. */
	readonly onChange: () => void;
};

/** Source of a version. */
export type Source = 'store' | 'peer';

/** Result of a poll of the seeds: the highest version, the number of responses and the number of seeds. */
export type SeedPoll = {readonly entry: store.Entry; readonly responses: number; readonly seeds: number};

/** Delay in ms before a newer version is queried from a peer, so that the host's own watch can deliver it first. */
const peerQueryDelayMs = 250;

/** Local copy of one object. */
export abstract class Cache {
	abstract readonly object: types.SharedObject;
	protected readonly options: Options;
	#version = 0;
	#text = '';
	#storeVersion = 0;
	#isQuerying = false;

	constructor(options: Options) {
		this.options = options;
	}

	/** Current version; 0 for none. */
	get version(): number {
		return this.#version;
	}

	/** Text of the current version. */
	get text(): string {
		return this.#text;
	}

	/** Whether a version may be adopted from a single peer. */
	abstract get trustsSinglePeer(): boolean;

	/** Watches the object in the store until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {logger, timing, random: randomSource, clock: time} = this.options;
		while (!signal.aborted) {
			const outcome = await this.options.store.watch(this.object, this.#storeVersion, signal, this.maxWaitMs());
			if (Either.isRight(outcome)) {
				// Also set for a rejected or lower version, so that the next watch waits until the store changes.
				this.#storeVersion = outcome.right.version;
				this.#update(outcome.right, 'store');
			} else if (!signal.aborted) {
				logger.warn('failed to read the object from the store', {object: this.object, failure: outcome.left});
				await this.onStoreFailure();
				await time.sleep(randomSource.integer(0, timing.storeReturnMs), signal);
			}
		}
	}

	/** Handles the version that a peer reported, and queries the peer for it if it is newer. */
	async updateFromPeer(peer: connection.Connection, version: number): Promise<void> {
		if (this.#isQuerying || version <= this.#version || !this.trustsSinglePeer) {
			return;
		}

		this.#isQuerying = true;
		await this.options.clock.sleep(peerQueryDelayMs);
		if (version > this.#version) {
			const entry = await this.#query(peer);
			this.#update(entry, 'peer');
		}

		this.#isQuerying = false;
	}

	/** Queries every seed and returns the highest version among the responses. */
	protected async pollSeeds(): Promise<SeedPoll> {
		const seeds = this.options.seeds();
		const responses = await Promise.all(seeds.map(async address => {
			const peer = await this.options.links.connect({address});
			return peer && this.#query(peer);
		}));
		const entries = responses.filter(entry => entry !== undefined);
		const none: store.Entry = {key: this.object, version: 0, value: ''};
		const entry = entries.toSorted((left, right) => right.version - left.version)[0] ?? none;
		return {entry, responses: entries.length, seeds: seeds.length};
	}

	/** Updates from an entry that `pollSeeds` returned. */
	protected adopt(entry: store.Entry): void {
		this.#update(entry, 'peer');
	}

	/** Maximum duration of one watch in ms; `undefined` for the default. */
	protected abstract maxWaitMs(): number | undefined;

	/** Applies an entry if it is valid and supersedes the current one; returns whether it was applied. */
	protected abstract apply(entry: store.Entry, source: Source): boolean;

	/** Called when the store does not respond. */
	protected abstract onStoreFailure(): Promise<void>;

	/** Applies an entry and, if it was accepted, records its version and text. */
	#update(entry: store.Entry | undefined, source: Source): void {
		if (entry && this.apply(entry, source)) {
			this.#version = entry.version;
			this.#text = entry.value;
			this.options.logger.info('updated object version', {object: this.object, version: entry.version, source});
			this.options.onChange();
		}
	}

	async #query(peer: connection.Connection): Promise<store.Entry | undefined> {
		const outcome = await peer.request({kind: 'configuration-query', object: this.object}, this.options.timing.linkTimeoutMs);
		return Either.isRight(outcome) && outcome.right.kind === 'configuration-report'
			? {key: this.object, version: outcome.right.version, value: outcome.right.text}
			: undefined;
	}
}
