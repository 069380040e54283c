/**
Keeps the caches of the store's objects current with few calls to the store: one host of each region, the observer,
follows the store, and the region's other hosts subscribe to the observer. A host also follows the store while other
hosts subscribe to it, and when its caches become stale.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import * as notices from './notice.js';
import type * as objects from './objects.js';
import type * as peers from './peer.js';
import * as revisions from './revision.js';

export type Options = {
	readonly caches: notices.Caches;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Time within which a change of the configuration must be in force. */
	readonly configurationMs: number;
	/** The observer, except `excluded` hosts; `undefined` if it is this host. */
	readonly observer: (excluded: ReadonlySet<string>) => peers.Peer | undefined;
	/** Whether other hosts subscribe to this one. */
	readonly hasSubscribers: () => boolean;
	/** Starts following the store; stops when the signal aborts. */
	readonly follow: (signal: AbortSignal) => void;
};

const tickMs = 200;
/**
Fraction of `configurationMs` after which this host follows the store itself. The rest of that time is for the list of the
store's objects, which takes longer in the large fleets that have a longer bound.
*/
export const maxAgeFraction = 5 / 6;
/** Time for a new observer to send a recent state, and the time for which an observer that doesn't is excluded. */
const stateTimeoutMs = 1500;
const exclusionMs = 5000;
/** Kinds whose changes must take effect within seconds. */
const urgentKinds: readonly objects.CachedKind[] = ['configuration', 'servers'];

/** Keeps the caches of all kinds current. */
export class Synchronizer {
	readonly #options: Options;
	readonly #excludedUntil = new Map<string, number>();
	/** Clock time at which the state last sent by the observer was confirmed to be current, by kind. */
	readonly #confirmedAt = new Map<objects.CachedKind, number>();
	#observer: peers.Peer | undefined;
	#observerSince = Number.NEGATIVE_INFINITY;
	#storeController: AbortController | undefined;

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	Age of the configuration or the server list above which this host follows the store itself. It is above the longest
	watch of an observer.
	*/
	get #maxAgeMs(): number {
		return this.#options.configurationMs * maxAgeFraction;
	}

	/** Whether this host follows the store itself. */
	get isFollowingStore(): boolean {
		return this.#storeController !== undefined;
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#chooseObserver();
			this.#updateFollowing();
			await this.#options.clock.sleep(tickMs, signal);
		}

		this.#storeController?.abort();
	}

	/** Switches to another observer if a better one is available, or if the current one sends no recent state. */
	#chooseObserver(): void {
		const now = this.#options.clock.now();
		if (this.#observer && !this.#isCurrent() && now - this.#observerSince > stateTimeoutMs) {
			this.#excludedUntil.set(this.#observer.name, now + exclusionMs);
		}

		const excluded = new Set([...this.#excludedUntil].filter(([, until]) => until > now).map(([name]) => name));
		const observer = this.#options.observer(excluded);
		if (observer === this.#observer) {
			return;
		}

		this.#observer?.subscribe(undefined);
		this.#confirmedAt.clear();
		this.#observer = observer;
		this.#observerSince = now;
		this.#options.decisions.record('observer-chosen', {observer: observer?.name ?? ''});
		if (observer) {
			this.#subscribe(observer, () => notices.revisions(this.#options.caches));
		}
	}

	#subscribe(observer: peers.Peer, known: peers.Subscription['known']): void {
		observer.subscribe({
			known,
			apply: notice => {
				this.#apply(observer, notice);
			},
		});
	}

	/** Starts or stops following the store as needed. */
	#updateFollowing(): void {
		const isOld = Math.max(...urgentKinds.map(kind => this.#options.caches[kind].ageMs)) > this.#maxAgeMs;
		const isNeeded = this.#options.hasSubscribers() || this.#observer === undefined || (this.#storeController ? !this.#isCurrent() : isOld);
		if (isNeeded && !this.#storeController) {
			this.#storeController = new AbortController();
			this.#options.decisions.record('store-followed', {observer: this.#observer?.name ?? '', isOld});
			this.#options.follow(this.#storeController.signal);
		} else if (!isNeeded && this.#storeController) {
			this.#storeController.abort();
			this.#storeController = undefined;
			this.#options.decisions.record('store-left', {observer: this.#observer?.name ?? ''});
		}
	}

	/** Whether the observer has sent the state of every kind, and of the urgent kinds recently. */
	#isCurrent(): boolean {
		const now = this.#options.clock.now();
		const isComplete = Object.keys(this.#options.caches).every(kind => this.#confirmedAt.has(kind as objects.CachedKind));
		return isComplete && urgentKinds.every(kind => now - this.#confirmedAt.get(kind)! < this.#maxAgeMs);
	}

	#apply(observer: peers.Peer, notice: types.StateNotice): void {
		if (observer !== this.#observer) {
			return;
		}

		const confirmedAt = this.#options.clock.now() - notice.ageMs;
		if (notices.apply(this.#options.caches, notice, confirmedAt, observer.name)) {
			const {revision = 0} = this.#options.caches[notice.kind];
			if (revisions.split(revision).generation !== revisions.split(notice.revision).generation) {
				// The cache ignores updates of an earlier generation, and has nothing in common with their later ones.
				return;
			}

			// A cache that is newer than the update in the same generation can apply the observer's later ones.

			this.#confirmedAt.set(notice.kind, Math.max(confirmedAt, this.#confirmedAt.get(notice.kind) ?? confirmedAt));
		} else {
			// An earlier update is missing, so the complete state is requested.
			this.#options.decisions.record('state-incomplete', {
				observer: observer.name, kind: notice.kind, revision: notice.revision, from: notice.from ?? 0,
			});
			this.#subscribe(observer, () => notices.noRevisions);
		}
	}
}
