/**
Whether the configuration of this host is recent enough to go by. Keys may be removed while a host can reach neither the
store nor another host, and other hosts can serve its callers.
*/
import type * as clock from '../../core/clock.js';
import type * as decisions from '../decisions.js';

export type Options = {
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Time in ms within which a change of the configuration must be in force. */
	readonly configurationMs: number;
	/** Time in ms since the configuration was last confirmed to be the store's. */
	readonly ageMs: () => number;
	/** Whether the configuration in force has customers. */
	readonly hasCustomers: () => boolean;
	/** Whether a link to or from another host is open. */
	readonly hasLink: () => boolean;
	/** Whether this host knows other hosts. */
	readonly knowsHosts: () => boolean;
	/** Starts to open links to other hosts. */
	readonly connect: () => void;
};

const tickMs = 200;
/**
Part of the bound left for a request on its way to a server. The age is measured from the receipt of the store's answer, so
it also covers the time of that answer.
*/
const marginMs = 250;
/**
Fraction of the bound from which links are opened, so that they are open by the time at which the bound is reached. It is
above that of the longest watch.
*/
const connectFraction = 2 / 3;

/** Delay of a tick after which the process counts as stopped meanwhile. Links that were lost in that time still seem open. */
const stopMs = 800;
/** Time after a stop until links that were lost are closed, and those that are open have delivered what was sent meanwhile. */
const linkSettleMs = 1000;

/** Judges the age of the configuration. */
export class Freshness {
	readonly #options: Options;
	#wasCurrent = true;
	/** Clock time of the last tick; `undefined` before the first. */
	#tickedAt: number | undefined;
	/** Clock time until which an open link doesn't prove that another host can be reached. */
	#distrustsLinksUntil = Number.NEGATIVE_INFINITY;

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	Whether keys may be served. While the store is down for all hosts, the links between them remain open. A host that was cut
	off doesn't serve as soon as a link opens, but once that link has had the time to deliver a newer version.
	*/
	get isCurrent(): boolean {
		this.#updateTrust();
		return this.#isRecent || !this.#options.knowsHosts() || this.#options.clock.now() >= this.#distrustsLinksUntil;
	}

	get #isRecent(): boolean {
		return this.#options.ageMs() <= this.#options.configurationMs - marginMs;
	}

	/** Whether the process was stopped since the last tick. */
	get #isStopped(): boolean {
		return this.#tickedAt !== undefined && this.#options.clock.now() - this.#tickedAt > tickMs + stopMs;
	}

	/** Opens links in time, and records when keys are no longer served and when they are again; runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, configurationMs, ageMs, hasCustomers, hasLink, connect} = this.#options;
		while (!signal.aborted) {
			this.#updateTrust();
			this.#tickedAt = time.now();
			if (hasCustomers() && ageMs() > configurationMs * connectFraction && !hasLink()) {
				connect();
			}

			this.#recordChange();
			await time.sleep(tickMs, signal);
		}
	}

	/** Updates the time from which an open link proves that another host can be reached. */
	#updateTrust(): void {
		const {clock: time, configurationMs, hasLink} = this.#options;
		if (this.#isRecent) {
			this.#distrustsLinksUntil = Number.NEGATIVE_INFINITY;
		} else if (!hasLink()) {
			this.#distrustsLinksUntil = time.now() + configurationMs;
		} else if (this.#isStopped) {
			this.#distrustsLinksUntil = Math.max(this.#distrustsLinksUntil, time.now() + linkSettleMs);
		}
	}

	#recordChange(): void {
		const {decisions: record, hasCustomers, ageMs} = this.#options;
		const isCurrent = !hasCustomers() || this.isCurrent;
		if (isCurrent !== this.#wasCurrent) {
			this.#wasCurrent = isCurrent;
			record.record(isCurrent ? 'keys-served' : 'keys-suspended', {ageMs: Math.round(ageMs())});
		}
	}
}
