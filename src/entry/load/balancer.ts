/**
The order in which the servers of one service are tried for a read or a read-only transaction.

Each host decides by itself, from its own requests and their replies only: these are fresher than anything that another
host or a server could report, and no report can mislead it. docs/design/load.md has the reasons.
*/
import type * as clock from '../../core/clock.js';
import type * as random from '../../core/random.js';
import type * as decisions from '../decisions.js';
import * as tracks from './track.js';

/** A server to choose. */
export type Candidate = {
	readonly id: string;
	readonly registration: {readonly place: string; readonly slots: number};
	/** Whether the server recently failed to reply to a probe or a statement of this host. */
	readonly isAvoided: boolean;
};

/** Why a server is ejected: it is several times slower than the others, it refuses or fails requests, or it doesn't reply. */
export type Reason = 'slow' | 'refusing' | 'failing' | 'silent';

/** What the order depends on besides the servers. */
export type View<S> = {
	/** Place of this host. */
	readonly place: string;
	/** The leader, which also carries the writes. */
	readonly leader: S | undefined;
	/** Only reads are trial requests: the BEGIN of a transaction takes no slot, so it doesn't show whether a server executes work. */
	readonly purpose: 'read' | 'transaction';
	/** Time in ms that the request adds at a server, such as for a new connection; 0 by default. */
	readonly extraMs?: (server: S) => number;
};

export type Options = {
	readonly service: string;
	readonly clock: Pick<clock.Clock, 'now'>;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
};

const results = {
	read: 'answered', write: 'answered', busy: 'busy', failed: 'failed', silent: 'silent', none: 'undecided',
} as const;
const reasons = {busy: 'refusing', failed: 'failing', silent: 'silent'} as const;

type Ejection = {readonly reason: Reason; readonly at: number; backoffMs: number; trialAt: number; goodTrials: number; isTrialInFlight: boolean};
type State = {
	readonly track: tracks.Track;
	ejection: Ejection | undefined;
	readmittedAt: number;
	backoffMs: number;
	/** What the last refusal or missing reply was. */
	lastBad: Reason;
	/** Latency below which a slow server counts as recovered. */
	normalMs: number;
};

/**
Latency in ms that a server in another place must save, since traffic between places is billed. It is drawn for each
request, so that a growing gain moves a growing share of the requests instead of those of all hosts at once.
*/
const remotePenaltyMs = {low: 30, high: 60};
/** Random addition to a cost in percent, which spreads requests over servers of nearly the same cost. */
const jitterPercent = 10;
/** Factor on the leader's latency: its queue also holds writes, which can't go elsewhere. */
const leaderFactor = 1.5;
/** A server is slow above this multiple of the fastest other server's latency plus a margin, and no longer so below the lower multiple. */
const slowFactor = 3;
const normalFactor = 2;
const slowMarginMs = 20;
/** A server is ejected if its share of refusals exceeds that of the others by this, over at least so many replies. */
const badMargin = 0.2;
const minReplies = 3;
/**
Replies that a server must have to be compared with: one that is about 4 s old. A read that one server failed is sent to a
second one, so a statement that is itself at fault shows there.
*/
const minComparedReplies = 0.1;
/** Refusals in a row after which a server is ejected whatever its share. One missing reply suffices, since the caller waits for it. */
const maxBadInRow = 3;
/** Time until the first trial request to an ejected server, and the longest time between trials that fail. */
const firstBackoffMs = 1000;
const maxBackoffMs = 8000;
/** Trials in a row that must succeed, since a server that fails a part of its requests also answers some. */
const neededTrials = 5;
/** A server that is ejected again within this time after its readmission gets its trials later than before. */
const relapseMs = 30_000;
const maxSlots = 1024;
const defaultSlots = 4;

/** Orders the servers of one service. */
export class Balancer<S extends Candidate> {
	readonly #options: Options;
	/** State by server. A new incarnation is a new object, so it starts without the state of the previous one. */
	readonly #states = new WeakMap<S, State>();

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	The servers in order of preference. Servers that refuse or fail come last, except for one trial request at a time. At
	most half of the servers are treated so.

	@example
	```
	const [first, ...others] = balancer.order(servers, {place: 'west', leader, purpose: 'read'});
	```
	*/
	order(servers: readonly S[], view: View<S>): readonly S[] {
		const now = this.#options.clock.now();
		this.#eject(servers, now);
		const excluded = this.#excluded(servers, now);
		const penaltyMs = this.#options.random.integer(remotePenaltyMs.low, remotePenaltyMs.high);
		const cost = (server: S): number =>
			this.#cost(server, view, now) + (view.extraMs?.(server) ?? 0) + (server.registration.place === view.place ? 0 : penaltyMs);
		const ranked = servers.map(server => ({server, cost: cost(server), isExcluded: excluded.has(server)}));
		ranked.sort((one, other) => Number(one.isExcluded) - Number(other.isExcluded) || one.cost - other.cost);
		const ordered = ranked.map(({server}) => server);
		const trial = view.purpose === 'read' ? ordered.find(server => this.#isTrialDue(server, now)) : undefined;
		return trial ? [trial, ...ordered.filter(server => server !== trial)] : ordered;
	}

	/** Records that a request to a server starts. The next request to an ejected server whose trial is due is the trial. */
	started(server: S): void {
		const {track, ejection} = this.#state(server);
		track.requests++;
		track.inFlight++;
		if (ejection && this.#isTrialDue(server, this.#options.clock.now())) {
			ejection.isTrialInFlight = true;
		}
	}

	/** Records how a request ended that was started. */
	ended(server: S, outcome: tracks.Outcome): void {
		this.#options.decisions.attempted(this.#options.service, server.id, results[outcome.kind]);
		const state = this.#state(server);
		const now = this.#options.clock.now();
		state.track.inFlight = Math.max(0, state.track.inFlight - 1);
		state.track.record(outcome, now);
		if (outcome.kind === 'busy' || outcome.kind === 'failed' || outcome.kind === 'silent') {
			state.lastBad = reasons[outcome.kind];
		}

		if (state.ejection?.isTrialInFlight) {
			this.#judge(server, state, state.ejection, outcome);
		}
	}

	/** Records that a read has had no reply for `elapsedMs`, which is the least that its latency will be. */
	overdue(server: S, elapsedMs: number): void {
		this.#state(server).track.sample(elapsedMs, this.#options.clock.now());
	}

	/** Number of requests that this host has sent to a server. */
	requests(server: S): number {
		return this.#state(server).track.requests;
	}

	/** Why a server is ejected; `undefined` if it isn't. */
	ejected(server: S): Reason | undefined {
		return this.#state(server).ejection?.reason;
	}

	/** The expected latency, without the penalty for another place. */
	#cost(server: S, {leader}: View<S>, now: number): number {
		const {track, ejection} = this.#state(server);
		const expectedMs = track.expectedMs(now, slots(server), ejection?.reason === 'slow');
		const jitter = 1 + (this.#options.random.integer(0, jitterPercent * 10) / 1000);
		return expectedMs * (server === leader ? leaderFactor : 1) * jitter;
	}

	/** Ejects servers that differ from the others. */
	#eject(servers: readonly S[], now: number): void {
		for (const server of servers) {
			const state = this.#state(server);
			const others = servers.filter(other => other !== server);
			state.normalMs = this.#limitMs(others, normalFactor);
			const isCandidate = state.ejection === undefined && others.length > 0;
			const reason = isCandidate ? this.#findFault(state, others, now) : undefined;
			if (reason) {
				const isRelapse = now - state.readmittedAt < relapseMs;
				state.backoffMs = isRelapse ? Math.min(maxBackoffMs, state.backoffMs * 2) : firstBackoffMs;
				state.ejection = {
					reason, at: now, backoffMs: state.backoffMs, trialAt: now + this.#vary(state.backoffMs), goodTrials: 0, isTrialInFlight: false,
				};
				const {badRatio} = state.track.recent(now);
				this.#options.decisions.record('server-ejected', {
					service: this.#options.service,
					server: server.id,
					reason,
					badRatio: round(badRatio),
					latencyMs: Math.round(state.track.latencyMs),
					inFlight: state.track.inFlight,
					requests: state.track.requests,
					trialAfterMs: Math.round(state.ejection.trialAt - now),
				});
			}
		}
	}

	#findFault({track, lastBad}: State, others: readonly S[], now: number): Reason | undefined {
		const {count, badRatio} = track.recent(now);
		const compared = others.map(other => this.#state(other).track.recent(now)).filter(recent => recent.count >= minComparedReplies);
		const lowestRatio = compared.length === 0 ? 0 : Math.min(...compared.map(recent => recent.badRatio));
		const isBad = count >= minReplies && badRatio > lowestRatio + badMargin;
		const isDown = track.badInRow >= (lastBad === 'silent' ? 1 : maxBadInRow) && badRatio > lowestRatio;
		if (isBad || isDown) {
			return lastBad;
		}

		return track.isMeasured && count >= minReplies && track.latencyMs > this.#limitMs(others, slowFactor) ? 'slow' : undefined;
	}

	/** A multiple of the latency of the fastest of some servers; infinite if none has replied. */
	#limitMs(servers: readonly S[], factor: number): number {
		const measured = servers.map(server => this.#state(server)).filter(({track, ejection}) => track.isMeasured && !ejection);
		return (factor * Math.min(...measured.map(({track}) => track.latencyMs))) + slowMarginMs;
	}

	/** The ejected servers that come last: at most half of all, those with the most refusals. A slow one is used by its cost. */
	#excluded(servers: readonly S[], now: number): ReadonlySet<S> {
		const ejected = servers.filter(server => {
			const reason = this.ejected(server);
			return reason !== undefined && reason !== 'slow';
		});
		const badRatio = (server: S): number => this.#state(server).track.recent(now).badRatio;
		return new Set(ejected.toSorted((one, other) => badRatio(other) - badRatio(one)).slice(0, Math.floor(servers.length / 2)));
	}

	#isTrialDue(server: S, now: number): boolean {
		const {ejection} = this.#state(server);
		return ejection?.isTrialInFlight === false && now >= ejection.trialAt && !server.isAvoided;
	}

	/** Judges an ejected server by the outcome of a trial. */
	#judge(server: S, state: State, ejection: Ejection, outcome: tracks.Outcome): void {
		ejection.isTrialInFlight = false;
		if (outcome.kind === 'none' || (outcome.kind === 'write' && ejection.reason === 'slow')) {
			return;
		}

		const now = this.#options.clock.now();
		const isGood = outcome.kind === 'write' || (outcome.kind === 'read' && (ejection.reason !== 'slow' || outcome.latencyMs < state.normalMs));
		if (!isGood) {
			ejection.goodTrials = 0;
			ejection.backoffMs = Math.min(maxBackoffMs, ejection.backoffMs * 2);
			ejection.trialAt = now + this.#vary(ejection.backoffMs);
			return;
		}

		ejection.goodTrials++;
		if (ejection.goodTrials >= neededTrials) {
			state.ejection = undefined;
			state.readmittedAt = now;
			state.backoffMs = ejection.backoffMs;
			state.track.reset(outcome.kind === 'read' ? outcome.latencyMs : undefined);
			this.#options.decisions.record('server-readmitted', {
				service: this.#options.service, server: server.id, reason: ejection.reason, ejectedMs: Math.round(now - ejection.at),
			});
		}
	}

	#vary(ms: number): number {
		return ms * this.#options.random.integer(750, 1250) / 1000;
	}

	#state(server: S): State {
		let state = this.#states.get(server);
		if (!state) {
			state = {
				track: new tracks.Track(), ejection: undefined, readmittedAt: Number.NEGATIVE_INFINITY, backoffMs: firstBackoffMs, lastBad: 'silent', normalMs: Number.POSITIVE_INFINITY,
			};
			this.#states.set(server, state);
		}

		return state;
	}
}

/** The slots of a registration, or a usual number if they are implausible. */
function slots({registration}: Candidate): number {
	return Number.isInteger(registration.slots) && registration.slots > 0 && registration.slots <= maxSlots ? registration.slots : defaultSlots;
}

function round(ratio: number): number {
	return Math.round(ratio * 100) / 100;
}
