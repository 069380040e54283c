/**
An object of the platform's store that a host follows by a watch and, where the store does not answer, by its peers.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as types from '../generated/types.js';
import type * as conversation from '../peer/conversation.js';
import type * as links from '../peer/links.js';
import type * as store from '../store/store.js';
import type * as log from './log.js';

/** What following an object needs. */
export type Parts = {
	readonly store: store.Store;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly logger: log.Logger;
	readonly links: links.Links;
	/** Addresses of the peers in the settings, without this host. */
	readonly seeds: () => readonly string[];
	readonly timing: types.Timing;
	/** Called after a change. */
	readonly changed: () => void;
};

/** Where a version came from. */
export type Source = 'store' | 'peer';

/** What the seeds hold: the highest version, and how many of them answered. */
export type Consultation = {readonly entry: store.Entry; readonly answers: number; readonly asked: number};

/** A host that hears of a newer version from a peer gives its own watch this time in ms before it asks. */
const behindDelayMs = 250;

/** One followed object. */
export abstract class Replica {
	abstract readonly object: types.SharedObject;
	protected readonly parts: Parts;
	#version = 0;
	#text = '';
	#seenVersion = 0;
	#isAsking = false;

	constructor(parts: Parts) {
		this.parts = parts;
	}

	/** The version held; 0 for none. */
	get version(): number {
		return this.#version;
	}

	/** The text held. */
	get text(): string {
		return this.#text;
	}

	/** Whether the word of one peer suffices. */
	abstract get isStarted(): boolean;

	/** The task: follows the store until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {logger, timing, random: source, clock: time} = this.parts;
		while (!signal.aborted) {
			const outcome = await this.parts.store.watch(this.object, this.#seenVersion, signal, this.waitMs());
			if (Either.isRight(outcome)) {
				// The version that the store has now, even a refused or a lower one, so that the next watch waits for a change.
				this.#seenVersion = outcome.right.version;
				this.#offer(outcome.right, 'store');
			} else if (!signal.aborted) {
				logger.warn('the store could not be read', {object: this.object, failure: outcome.left});
				await this.recover();
				await time.sleep(source.integer(0, timing.storeReturnMs), signal);
			}
		}
	}

	/** A peer said which version it holds. Asks it for a newer one. */
	async told(peer: conversation.Conversation, version: number): Promise<void> {
		if (this.#isAsking || version <= this.#version || !this.isStarted) {
			return;
		}

		this.#isAsking = true;
		await this.parts.clock.sleep(behindDelayMs);
		if (version > this.#version) {
			const entry = await this.#ask(peer);
			this.#offer(entry, 'peer');
		}

		this.#isAsking = false;
	}

	/** Asks every seed, and gives the highest version among the answers. */
	protected async consult(): Promise<Consultation> {
		const seeds = this.parts.seeds();
		const answers = await Promise.all(seeds.map(async address => {
			const peer = await this.parts.links.reach({address});
			return peer && this.#ask(peer);
		}));
		const entries = answers.filter(entry => entry !== undefined);
		const none: store.Entry = {key: this.object, version: 0, value: ''};
		const entry = entries.toSorted((left, right) => right.version - left.version)[0] ?? none;
		return {entry, answers: entries.length, asked: seeds.length};
	}

	/** Offers what `consult` found. */
	protected adopt(entry: store.Entry): void {
		this.#offer(entry, 'peer');
	}

	/** Longest wait in ms of one watch; `undefined` for the default. */
	protected abstract waitMs(): number | undefined;

	/** Takes an entry if it counts. */
	protected abstract take(entry: store.Entry, source: Source): boolean;

	/** Called when the store does not answer. */
	protected abstract recover(): Promise<void>;

	/** Offers an entry; holds it if it is taken. */
	#offer(entry: store.Entry | undefined, source: Source): void {
		if (entry && this.take(entry, source)) {
			this.#version = entry.version;
			this.#text = entry.value;
			this.parts.logger.info('took a version', {object: this.object, version: entry.version, source});
			this.parts.changed();
		}
	}

	async #ask(peer: conversation.Conversation): Promise<store.Entry | undefined> {
		const outcome = await peer.ask({kind: 'configuration-query', object: this.object}, this.parts.timing.linkTimeoutMs);
		return Either.isRight(outcome) && outcome.right.kind === 'configuration-report'
			? {key: this.object, version: outcome.right.version, value: outcome.right.text}
			: undefined;
	}
}
