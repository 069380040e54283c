/**
Checks that planned work on an entry host ends no request without a complete answer: SIGTERM, SIGHUP and new
configurations. Requests are judged once the run is over, when everything that servers received is known.
*/
import type * as clock from '../core/clock.js';
import * as configurations from './configurations.js';
import type * as contacts from './contact.js';

/** Work that a host must survive without ending a request. A configuration reaches every host. */
export type Work = {readonly kind: 'SIGTERM' | 'SIGHUP'; readonly host: number} | {readonly kind: 'configuration'};

/** A request as its caller sent it, with the time that its route allows. */
export type Request = {readonly id: string; readonly host: number; readonly sentAt: number; readonly timeoutMs: number; readonly scopes: readonly contacts.Scope[]};

export type Options = {
	readonly clock: clock.Clock;
	/** Disturbances other than planned work. */
	readonly unplanned: contacts.Contact;
	/** Time from SIGTERM until a host must have ended. */
	readonly graceMs: number;
};

/** A request whose connection ended before its answer was complete. */
type Cut = Request & {readonly endedAt: number};
type Started = Work & {readonly at: number};
type Span = {readonly from: number; to: number};
type Count = {sent: number; cut: number};
/** What a host did while a configuration could take effect, and at other times. */
type Rates = Readonly<Record<'beside' | 'other', Count>>;

/** Age from which a request that no server received counts as read by its host. */
export const lossSlackMs = 200;
/** Time after the end of a grace time, or after a configuration must be in force, in which requests still count. */
const settleMs = 1000;
/** Last part of the grace time in which a host may end a request that its server is still at work on. */
const lastRatio = 1 / 6;
/** A request sent later than this after SIGTERM is not excused by the work of its server. */
const excusedMs = 3000;
/** Part of its time that a request may use before a cut beside a configuration no longer counts. */
const usedRatio = 0.7;
/** A host cuts requests because of configurations if it does so more often by this factor than at other times. */
const rateFactor = 3;

/** Records planned work, requests and their ends, and finds violations. */
export class Unanswered {
	readonly #options: Options;
	readonly #works: Started[] = [];
	readonly #cuts: Cut[] = [];
	/** Cuts without a disturbance from `contactMs` before the request to its end. */
	readonly #undisturbed: Cut[] = [];
	/** When servers had requests, by id. */
	readonly #served = new Map<string, Span>();
	/** Times in which the process of the callers did not run. */
	readonly #stalls: Span[] = [];
	readonly #rates = new Map<number, Rates>();
	#sentAtShutdown = 0;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Number of requests that ended without an answer. */
	get count(): number {
		return this.#cuts.length;
	}

	/** Number of requests that were sent to a host while it shut down, without a disturbance. */
	get sentAtShutdown(): number {
		return this.#sentAtShutdown;
	}

	/** Number of requests without an answer that ended around planned work and without a disturbance, so that they are held to the promise. */
	get boundCount(): number {
		return this.#undisturbed.filter(cut => this.#findWork(cut)).length;
	}

	get violations(): string[] {
		return this.#undisturbed.flatMap(cut => {
			const work = this.#findWork(cut);
			const isServed = this.#served.has(cut.id);
			const ageMs = cut.endedAt - cut.sentAt - this.#stalledMs(cut);
			if (!work || (!isServed && ageMs <= lossSlackMs)) {
				return [];
			}

			const detail = `${Math.round(ageMs)} ms after it was sent, ${Math.round(cut.endedAt - work.at)} ms after ${work.kind}`;
			return [`unanswered: the connection of ${cut.id} to host ${cut.host} ended ${detail}; ${isServed ? 'a server had received it' : 'no server had received it'}`];
		});
	}

	/** Records planned work that starts now. */
	begin(work: Work): void {
		this.#works.push({...work, at: this.#options.clock.now()});
	}

	/** Records that a caller sends a request now. */
	send(request: Request): void {
		if (this.#isUndisturbed(request)) {
			this.#count(request.host, request.sentAt).sent++;
			this.#sentAtShutdown += this.#isShuttingDown(request) ? 1 : 0;
		}
	}

	/** Records that the connection of a request ended at `endedAt`, without a complete answer. */
	end(request: Request, endedAt: number): void {
		const cut = {...request, endedAt};
		this.#cuts.push(cut);
		if (this.#isUndisturbed(cut)) {
			this.#undisturbed.push(cut);
			this.#count(cut.host, endedAt).cut++;
		}
	}

	/** Records that a server received a request. */
	arrive(id: string): void {
		this.#served.set(id, {from: this.#options.clock.now(), to: Number.POSITIVE_INFINITY});
	}

	/** Records that a server has answered a request. */
	finish(id: string): void {
		const span = this.#served.get(id);
		if (span) {
			span.to = this.#options.clock.now();
		}
	}

	/** Records that the process of the callers did not run between two clock times. */
	stall(from: number, to: number): void {
		this.#stalls.push({from, to});
	}

	#isShuttingDown({host, sentAt}: Request): boolean {
		return this.#works.some(work => work.kind === 'SIGTERM' && work.host === host && sentAt - work.at <= this.#options.graceMs);
	}

	#isUndisturbed({sentAt, scopes}: Request): boolean {
		return this.#options.unplanned.quietSince(scopes) <= sentAt - configurations.contactMs;
	}

	/** Finds the planned work to which a cut is held; `undefined` if there is none. */
	#findWork(cut: Cut): Started | undefined {
		return cut.endedAt - cut.sentAt >= cut.timeoutMs ? undefined : this.#works.findLast(work => this.#isHeld(cut, work));
	}

	#isHeld(cut: Cut, work: Started): boolean {
		if (cut.endedAt < work.at || (work.kind !== 'configuration' && work.host !== cut.host)) {
			return false;
		}

		switch (work.kind) {
			case 'SIGTERM': {
				return cut.endedAt <= work.at + this.#options.graceMs + settleMs && !this.#isExcused(cut, work.at);
			}

			case 'SIGHUP': {
				return cut.sentAt <= work.at + configurations.configurationMs;
			}

			case 'configuration': {
				return isBeside(work.at, cut.endedAt) && cut.endedAt - cut.sentAt < usedRatio * cut.timeoutMs && this.#cutsBesideConfigurations(cut.host);
			}
		}
	}

	/** Whether the server was still at work when the grace time was nearly over. */
	#isExcused({id, sentAt, endedAt}: Cut, terminatedAt: number): boolean {
		const lastAt = terminatedAt + (this.#options.graceMs * (1 - lastRatio));
		const span = this.#served.get(id);
		return span !== undefined && span.to >= lastAt && endedAt >= lastAt && sentAt <= terminatedAt + excusedMs;
	}

	/** Whether a host ends requests more often beside configurations than at other times, of which there must have been some. */
	#cutsBesideConfigurations(host: number): boolean {
		const {beside, other} = this.#findRates(host);
		return other.sent > 0 && beside.cut * other.sent > rateFactor * other.cut * beside.sent;
	}

	#count(host: number, at: number): Count {
		const isNear = this.#works.some(work => work.kind === 'configuration' && isBeside(work.at, at));
		return this.#findRates(host)[isNear ? 'beside' : 'other'];
	}

	#findRates(host: number): Rates {
		const found = this.#rates.get(host) ?? {beside: {sent: 0, cut: 0}, other: {sent: 0, cut: 0}};
		this.#rates.set(host, found);
		return found;
	}

	/** Part of a request's time in which the process of its caller did not run and couldn't see the answer or the end. */
	#stalledMs({sentAt, endedAt}: Cut): number {
		return this.#stalls.reduce((sum, {from, to}) => sum + Math.max(0, Math.min(to, endedAt) - Math.max(from, sentAt)), 0);
	}
}

/** Whether a configuration sent at `sentAt`, which the store acknowledges at once, may still take effect at `at`. */
function isBeside(sentAt: number, at: number): boolean {
	return at >= sentAt && at <= sentAt + configurations.configurationMs + settleMs;
}
