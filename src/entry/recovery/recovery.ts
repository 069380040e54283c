/**
Recovery of one service at the start of a process: which earlier orders may still be carried out.

What the host knew before it ended is gone, and a host that is new knows nothing, so until this is shown it withholds every
commit. Three sources outlive a process:

- The store: the last claim is released, or none was ever made. That ends the recovery at once, so a start in calm costs
  nothing. A claim that was released before the store was restored from a copy shows nothing, since a later one may be lost.
- Another host that knows all orders under that claim and before. This one takes them over.
- The authority: an order for the present leader with a newer token, after which older ones are refused. `failover.ts` sends
  it for this host or another one does. It is the proof that needs no other host, and costs a write to the store and a call.

Without an answer of any of them, the recovery ends when all orders that were sent before the start must have been carried out.
*/
import type * as clock from '../../core/clock.js';
import * as claims from '../claims.js';
import type * as confirmation from '../confirmation.js';
import type * as decisions from '../decisions.js';
import type * as group from '../group.js';
import * as hosts from '../hosts.js';

export type Options = {
	readonly group: group.Group;
	readonly claims: claims.Claims;
	readonly hosts: hosts.Hosts;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
};

/** What ended a recovery. */
type Source = 'claims' | 'host' | 'time';

/** Time for the store to answer before the other hosts are asked: links are opened for that. */
const storeTimeoutMs = 500;
const pollMs = 100;
const idlePollMs = 500;
/**
Time after which no order that was sent before the start can be carried out: 2.5 s from the claim to the last order, 12 s for which an order may
live, and 10 s by which this may be wrong.
*/
const maxOutstandingMs = 25_000;
/** Time after which the holder of an open claim has ended its attempt, so that this host may claim. */
const maxAttemptMs = 4000;

/** Learns the outstanding orders of one service. */
export class Recovery {
	readonly #options: Options;
	readonly #startedAt: number;
	/** The last claim when the store first showed that an order may be outstanding, and the clock time of that. */
	#first: {readonly token: number; readonly readAt: number} | undefined;
	#needsHosts = false;

	constructor(options: Options) {
		this.#options = options;
		this.#startedAt = options.clock.now();
		options.group.confirmations.beginRecovery();
	}

	/** Whether other hosts have to be asked, for which links are needed. */
	get needsHosts(): boolean {
		return this.#needsHosts && this.#options.group.confirmations.isRecovering;
	}

	/** Runs until the outstanding orders are known, or `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, claims: known, group: {confirmations}} = this.#options;
		await time.limit(known.whenRead, storeTimeoutMs);
		while (!signal.aborted && confirmations.isRecovering) {
			await this.#learn();
			if (confirmations.isRecovering) {
				await time.sleep(this.#options.group.isActive ? pollMs : idlePollMs, signal);
			}
		}
	}

	/** Ends the recovery if one of the sources shows which orders are outstanding. */
	async #learn(): Promise<void> {
		const {claims: known, group: {name, isActive, confirmations}} = this.#options;
		const {kind, token} = known.standing(name, confirmations.settledToken);
		if (kind === 'closed') {
			this.#end('claims', token);
			return;
		}

		if (kind === 'open') {
			this.#recordOpen(token);
		}

		if (!isActive) {
			return;
		}

		this.#needsHosts = true;
		const outstanding = await this.#ask(token);
		if (outstanding) {
			this.#end('host', token, outstanding);
		} else if (this.#first) {
			this.#awaitOrder(this.#first);
		}
	}

	/** Notes that the store doesn't show which orders are outstanding. */
	#recordOpen(token: number): void {
		const {clock: time, group: {name}, decisions: record} = this.#options;
		if (!this.#first) {
			this.#first = {token, readAt: time.now()};
			record.record('recovery-started', {service: name, token});
		}
	}

	/** Has an order sent once the holder of the open claim must have ended its attempt; ends the recovery if there is none in time. */
	#awaitOrder({token, readAt}: {readonly token: number; readonly readAt: number}): void {
		const waitedMs = this.#options.clock.now() - readAt;
		if (waitedMs >= maxOutstandingMs) {
			this.#end('time', token);
		} else if (waitedMs >= maxAttemptMs) {
			this.#options.group.confirmations.requireOrder();
		}
	}

	/** Asks the other hosts for the outstanding orders; `undefined` if none knows them all. */
	async #ask(token: number): Promise<readonly confirmation.Outstanding[] | undefined> {
		const {reports} = await this.#options.hosts.ask({
			service: this.#options.group.name, order: 'report', server: '', term: 0, token: token === 0 ? claims.unspecifiedToken : token,
		}, ({outstanding}) => outstanding !== undefined);
		return reports.find(({outstanding}) => outstanding !== undefined)?.outstanding?.flatMap(entry => hosts.decodeOutstanding(entry));
	}

	#end(source: Source, token: number, outstanding: readonly confirmation.Outstanding[] = []): void {
		const {clock: time, group: {name, confirmations}, decisions: record} = this.#options;
		confirmations.endRecovery(token, outstanding);
		if (this.#first !== undefined || source !== 'claims') {
			record.record('recovery-ended', {
				service: name,
				source,
				token,
				outstanding: outstanding.map(({token: ordered, rule}) => `${ordered} ${rule.server} ${rule.term}`).join(', '),
				durationMs: Math.round(time.now() - this.#startedAt),
			});
		}
	}
}
