/**
A task that keeps the replicas current with few calls to the store: one host of each region follows the store, and the
others follow that host. A host follows the store itself while others follow it, and when what it has grows old.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import * as notices from './notice.js';
import type * as objects from './objects.js';
import type * as peers from './peer.js';

/** What the task needs. */
export type Parts = {
	readonly replicas: notices.Replicas;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** The host to follow, without those named; `undefined` if that is this one. */
	readonly observer: (avoided: ReadonlySet<string>) => peers.Peer | undefined;
	/** Whether other hosts follow this one. */
	readonly isObserved: () => boolean;
	/** Follows the store until the signal aborts. */
	readonly follow: (signal: AbortSignal) => void;
};

/** Time in ms between two looks. */
const tickMs = 200;
/**
Age in ms of the configuration or the server list at which this host turns to the store: above the longest wait of an
observer's watch, and half a second below the shortest time within which a configuration must be in force.
*/
const ageLimitMs = 2500;
/** Time in ms for a new observer to send a recent state, and for which one that did not is left alone. */
const proveMs = 1500;
const avoidMs = 5000;
/** Kinds whose changes must be in force within seconds. */
const urgentKinds: readonly objects.Kind[] = ['configuration', 'servers'];

/** Keeps the replicas of a host current. */
export class Synchronizer {
	readonly #parts: Parts;
	readonly #avoidedUntil = new Map<string, number>();
	/** Time of the clock at which the state was proven that the observer last sent, by kind. */
	readonly #fedAt = new Map<objects.Kind, number>();
	#observer: peers.Peer | undefined;
	#observedSince = Number.NEGATIVE_INFINITY;
	#own: AbortController | undefined;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Whether this host follows the store itself. */
	get isFollowingStore(): boolean {
		return this.#own !== undefined;
	}

	/** The task. Ends when `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#choose();
			this.#decide();
			await this.#parts.clock.sleep(tickMs, signal);
		}

		this.#own?.abort();
	}

	/** Changes the observer where another one is better, or where this one sends nothing recent. */
	#choose(): void {
		const now = this.#parts.clock.now();
		if (this.#observer && !this.#isFed() && now - this.#observedSince > proveMs) {
			this.#avoidedUntil.set(this.#observer.name, now + avoidMs);
		}

		const avoided = new Set([...this.#avoidedUntil].filter(([, until]) => until > now).map(([name]) => name));
		const observer = this.#parts.observer(avoided);
		if (observer === this.#observer) {
			return;
		}

		this.#observer?.subscribe(undefined);
		this.#fedAt.clear();
		this.#observer = observer;
		this.#observedSince = now;
		this.#parts.decisions.record('observer-chosen', {observer: observer?.name ?? ''});
		if (observer) {
			this.#subscribe(observer, () => notices.revisions(this.#parts.replicas));
		}
	}

	#subscribe(observer: peers.Peer, known: peers.Subscription['known']): void {
		observer.subscribe({
			known,
			take: notice => {
				this.#take(observer, notice);
			},
		});
	}

	/** Starts or stops following the store. */
	#decide(): void {
		const isOld = Math.max(...urgentKinds.map(kind => this.#parts.replicas[kind].ageMs)) > ageLimitMs;
		const isNeeded = this.#parts.isObserved() || this.#observer === undefined || (this.#own ? !this.#isFed() : isOld);
		if (isNeeded && !this.#own) {
			this.#own = new AbortController();
			this.#parts.decisions.record('store-followed', {observer: this.#observer?.name ?? '', isOld});
			this.#parts.follow(this.#own.signal);
		} else if (!isNeeded && this.#own) {
			this.#own.abort();
			this.#own = undefined;
			this.#parts.decisions.record('store-left', {observer: this.#observer?.name ?? ''});
		}
	}

	/** Whether the observer has sent every kind, and the urgent ones recently. */
	#isFed(): boolean {
		const now = this.#parts.clock.now();
		const isComplete = Object.keys(this.#parts.replicas).every(kind => this.#fedAt.has(kind as objects.Kind));
		return isComplete && urgentKinds.every(kind => now - this.#fedAt.get(kind)! < ageLimitMs);
	}

	#take(observer: peers.Peer, notice: types.StateNotice): void {
		if (observer !== this.#observer) {
			return;
		}

		const provenAt = this.#parts.clock.now() - notice.ageMs;
		if (notices.apply(this.#parts.replicas, notice, provenAt)) {
			this.#fedAt.set(notice.kind, Math.max(provenAt, this.#fedAt.get(notice.kind) ?? provenAt));
		} else {
			// Only the whole state helps.
			this.#parts.decisions.record('state-incomplete', {
				observer: observer.name, kind: notice.kind, revision: notice.revision, from: notice.from ?? 0,
			});
			this.#subscribe(observer, () => notices.nothing);
		}
	}
}
