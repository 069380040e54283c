/**
Failover: one task for each owned group. It detects that the primary is lost, has another owner corroborate it, claims a
term, promotes the most advanced server that granted it and announces the new primary. It also makes servers follow the
primary, and moves the primary off a server that is leaving. Every step is safe when repeated or late, because the
servers compare terms.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as store from '../store/store.js';
import type * as backend from './backend.js';
import * as claim from './claim.js';
import * as control from './control.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import type * as peers from './peers.js';
import * as position from './position.js';
import type * as random from './random.js';

/** The timed steps of a change of primary. */
export type Part = 'detection' | 'corroboration' | 'claim' | 'promotion' | 'announcement';

/** Why a primary changes: it failed, or it is moved as planned. */
export type Cause = 'failure' | 'move';

/** A completed change of primary. Durations in ms; a move has neither detection nor corroboration. */
export type Change = {
	readonly cause: Cause;
	readonly term: number;
	readonly claimant: string;
	/** The former primary; empty if none was known. */
	readonly from: string;
	readonly to: string;
	readonly durations: Readonly<Record<Part, number>>;
};

/** What the task did, for logs and metrics. */
export type Event =
	| {readonly kind: 'suspected'; readonly group: string; readonly term: number; readonly server: string; readonly silentMs: number}
	| {readonly kind: 'cleared'; readonly group: string; readonly term: number; readonly server: string}
	| {readonly kind: 'failed'; readonly group: string; readonly part: Part; readonly reason: string}
	| {readonly kind: 'changed'; readonly group: string; readonly change: Change}
	| {readonly kind: 'followed'; readonly group: string; readonly term: number; readonly server: string; readonly primary: string};

/** Takes events. */
export abstract class Recorder {
	abstract record(event: Event): void;
}

/** Times in ms, from the settings. */
export type Timing = Pick<types.Timing, 'probeTimeoutMs' | 'suspectAfterMs' | 'isolationDelayMs'>;

/** What the task of a group needs. */
export type Parts = {
	readonly group: group.Group;
	/** Name of this host; part of every claimant. */
	readonly host: string;
	readonly timing: Timing;
	readonly random: random.Source;
	readonly policy: claim.Policy;
	readonly peers: peers.Peers;
	readonly store: store.Store;
	readonly recorder: Recorder;
};

/** The server that leads the highest term that was seen; an empty name if nobody leads it. */
type Leader = {readonly server: string; readonly term: number};
type Suspicion = Leader & {readonly silentMs: number};
type Attempt = {
	readonly cause: Cause;
	readonly from: string;
	/** Server to promote if no other is more advanced. */
	readonly preferred: string;
	readonly detection: number;
	readonly corroboration: number;
	readonly control: control.Connections;
};

const pollMs = 50;
/** A task that wakes this much late was paused: silence during the pause says nothing about the servers. */
const pauseMs = 250;
const corroborationTimeoutMs = 200;
const corroborationPauseMs = 50;
const backoffLowMs = 50;
const backoffHighMs = 300;
/** Limits how long a planned move waits for its target before writes stop. */
const catchUpMs = 2000;
const moveRetryMs = 5000;

/** Changes and repairs the primary of one group. */
export class Promotion {
	readonly #parts: Parts;
	readonly #group: group.Group;
	/** Servers that don't follow the primary, and when they are told to. */
	readonly #repairsDue = new Map<string, number>();
	#resumedAt: number;
	#leaderless: {term: number; since: number} | undefined;
	#highestTerm = 0;
	#nextMoveAt = 0;
	#last: Change | undefined;
	#isChanging = false;

	constructor(parts: Parts) {
		this.#parts = parts;
		this.#group = parts.group;
		this.#resumedAt = parts.group.clock.now();
	}

	/** The last change of primary that this owner completed. */
	get last(): Change | undefined {
		return this.#last;
	}

	/** The task. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const suspicion = this.#suspect();
			if (!this.#isChanging) {
				await (suspicion ? this.#replace(suspicion, signal) : this.#maintain(signal));
			}

			await this.#sleep(pollMs, signal);
		}
	}

	/** Whether this owner also suspects the primary of `term`; the answer to another owner's suspicion. */
	opinion(term: number, server: string): boolean {
		const leader = this.#leader();
		const isOther = leader.server !== '' && leader.server !== server && leader.term >= term;
		return !isOther && this.#suspect() !== undefined;
	}

	/** Takes another owner's notice of a new primary: asks that server at once. */
	notice(term: number, server: string): void {
		if (term >= this.#group.observed.highestTerm) {
			void this.#group.observed.servers.get(server)?.observe(this.#parts.timing.probeTimeoutMs);
		}
	}

	/**
	Moves the primary to `target` as planned. No acknowledged write is lost, and writes wait for about three round trips.

	Errors: `not-run` when the present primary does not answer, the target can't catch up, or another change goes on.

	@example
	```
	const outcome = await promotion.move('b');
	```
	*/
	async move(target: string): Promise<errors.Outcome<Change>> {
		const {server, term} = this.#leader();
		const present = this.#group.observed.servers.get(server)?.latest;
		const candidate = this.#group.observed.servers.get(target);
		if (this.#isChanging || !present || !candidate || server === target) {
			return errors.fail('not-run', 'promote', target, 'the primary is not known, is the target already, or is being changed');
		}

		this.#isChanging = true;
		try {
			const reached = await candidate.reach(present.status.last, catchUpMs);
			if (reached?.status.following !== server || reached.status.term !== term) {
				return errors.fail('not-run', 'promote', target, `the server does not follow primary ${server} closely enough`);
			}

			const change = await this.#attempt({
				cause: 'move', from: server, preferred: target, detection: 0, corroboration: 0, control: this.#connect(),
			});
			return change?.to === target
				? Either.right(change)
				: errors.fail('not-run', 'promote', target, 'the change of primary did not complete; the most advanced server leads');
		} finally {
			this.#isChanging = false;
		}
	}

	#now(): number {
		return this.#group.clock.now();
	}

	async #sleep(ms: number, signal: AbortSignal): Promise<void> {
		const before = this.#now();
		await this.#group.clock.sleep(ms, signal);
		this.#watchPause(before, ms);
	}

	#watchPause(before: number, expectedMs: number): void {
		if (this.#now() - before > expectedMs + pauseMs) {
			this.#resumedAt = this.#now();
		}
	}

	#connect(): control.Connections {
		return new control.Connections(this.#group.servers, this.#group.clock, this.#parts.timing.probeTimeoutMs);
	}

	/** A primary of the highest term, or the server that others of that term follow and that has not denied it. */
	#leader(): Leader {
		const {statuses, highestTerm: term, primary} = this.#group.observed;
		if (primary?.status.term === term) {
			return {server: primary.status.server, term};
		}

		const followed = statuses.find(status => status.term === term && status.following !== '')?.following ?? '';
		const isDenied = statuses.some(({server, term: held}) => server === followed && held === term);
		return {server: isDenied ? '' : followed, term};
	}

	#silentMs(server: string): number {
		const lastAnswerAt = this.#group.observed.servers.get(server)?.lastAnswerAt ?? Number.NEGATIVE_INFINITY;
		return this.#now() - Math.max(lastAnswerAt, this.#resumedAt);
	}

	/** Whether a server does not answer, or refuses connections. */
	#isLost(server: string): boolean {
		return this.#silentMs(server) >= this.#parts.timing.suspectAfterMs || (this.#group.observed.servers.get(server)?.refusals ?? 0) >= 2;
	}

	/** The present suspicion: the leader is lost, or nobody has led the highest term for as long. */
	#suspect(): Suspicion | undefined {
		const leader = this.#leader();
		if (leader.server !== '') {
			this.#leaderless = undefined;
			return this.#isLost(leader.server) ? {...leader, silentMs: this.#silentMs(leader.server)} : undefined;
		}

		if (this.#leaderless?.term !== leader.term) {
			this.#leaderless = {term: leader.term, since: this.#now()};
		}

		const silentMs = this.#now() - Math.max(this.#leaderless.since, this.#resumedAt);
		return silentMs >= this.#parts.timing.suspectAfterMs ? {...leader, silentMs} : undefined;
	}

	#isMajorityReachable(): boolean {
		const reachable = [...this.#group.servers.keys()].filter(server => !this.#isLost(server));
		return reachable.length >= this.#group.observed.majority;
	}

	/** Replaces a lost primary. */
	async #replace(suspicion: Suspicion, signal: AbortSignal): Promise<void> {
		const startedAt = this.#now();
		this.#isChanging = true;
		this.#record({kind: 'suspected', ...suspicion});
		const connections = this.#connect();
		try {
			if (!await this.#corroborate(suspicion, signal)) {
				this.#record({kind: 'cleared', term: suspicion.term, server: suspicion.server});
				connections.close();
				return;
			}

			const corroboration = this.#now() - startedAt;
			await this.#contend({
				cause: 'failure', from: suspicion.server, preferred: '', detection: suspicion.silentMs, corroboration, control: connections,
			}, signal);
		} finally {
			this.#isChanging = false;
		}
	}

	/** Waits until the suspicion is shared or this owner is surely not the one cut off; false once it has gone. */
	async #corroborate({term, server}: Suspicion, signal: AbortSignal): Promise<boolean> {
		let isolatedSince: number | undefined;
		while (!signal.aborted && this.#suspect()) {
			const before = this.#now();
			const opinions = await this.#parts.peers.corroborate(this.#group.name, term, server, corroborationTimeoutMs);
			this.#watchPause(before, corroborationTimeoutMs);
			const elsewhere = opinions.filter(({place}) => place !== this.#group.place);
			isolatedSince = elsewhere.length === 0 ? isolatedSince ?? before : undefined;
			const isIsolatedLong = isolatedSince !== undefined && this.#now() - isolatedSince >= this.#parts.timing.isolationDelayMs;
			const isShared = elsewhere.some(({isSuspected}) => isSuspected);
			if ((isShared || isIsolatedLong) && this.#isMajorityReachable() && this.#suspect()) {
				return true;
			}

			await this.#sleep(corroborationPauseMs, signal);
		}

		return false;
	}

	/** Attempts to change the primary until that succeeds or a primary is there. */
	async #contend(attempt: Attempt, signal: AbortSignal): Promise<void> {
		let {control: connections} = attempt;
		while (!signal.aborted) {
			if (await this.#attempt({...attempt, control: connections})) {
				return;
			}

			// Another promoter may have succeeded. The random time ends the contention of two that have not.
			const backoffMs = this.#parts.random.integer(backoffLowMs, backoffHighMs);
			const before = this.#now();
			const confirmed = await this.#group.observed.readPoint(backoffMs);
			this.#watchPause(before, backoffMs);
			if (Either.isRight(confirmed) || !this.#isMajorityReachable()) {
				return;
			}

			connections = this.#connect();
		}

		connections.close();
	}

	/** One claim, and the promotion of one server under it. A claim is never used for a second server. */
	async #attempt(attempt: Attempt): Promise<Change | undefined> {
		const {control: connections, from, preferred} = attempt;
		const startedAt = this.#now();
		const claimant = `${this.#parts.host}-${this.#parts.random.name()}`;
		const term = Math.max(this.#highestTerm, this.#group.observed.highestTerm) + 1;
		this.#highestTerm = term;
		const result = await this.#parts.policy.claim({
			group: this.#group.name,
			term,
			claimant,
			majority: this.#group.observed.majority,
			control: connections,
			silent: new Set([...this.#group.servers.keys()].filter(server => this.#isLost(server))),
			timeoutMs: this.#parts.timing.probeTimeoutMs * 2,
			handover: attempt.cause === 'move' ? {from, to: preferred} : undefined,
		});
		if (result.kind === 'refused') {
			this.#highestTerm = Math.max(term, result.highestTerm);
			this.#record({kind: 'failed', part: 'claim', reason: result.reason});
			connections.close();
			return undefined;
		}

		const claimedAt = this.#now();
		const to = this.#choose(result.grants, preferred);
		if (!await this.#promote(connections, to, term, claimant)) {
			connections.close();
			return undefined;
		}

		const promotedAt = this.#now();
		await this.#announce(connections, to, term);
		const change: Change = {
			cause: attempt.cause,
			term,
			claimant,
			from,
			to,
			durations: {
				detection: attempt.detection,
				corroboration: attempt.corroboration,
				claim: claimedAt - startedAt,
				promotion: promotedAt - claimedAt,
				announcement: this.#now() - promotedAt,
			},
		};
		this.#last = change;
		this.#record({kind: 'changed', change});
		void this.#publish(change);
		return change;
	}

	/** The most advanced server. Every acknowledged write is in its log, since a majority granted. */
	#choose(grants: readonly backend.Status[], preferred: string): string {
		const rank = (server: string): number => (server === preferred ? 2 : 0) + (this.#group.isLeaving(server) ? 0 : 1);
		const [best] = grants.toSorted((left, right) => position.compare(right.last, left.last) || rank(right.server) - rank(left.server));
		return best?.server ?? '';
	}

	async #promote(connections: control.Connections, server: string, term: number, claimant: string): Promise<boolean> {
		const askedAt = this.#now();
		const timeoutMs = this.#parts.timing.probeTimeoutMs * 2;
		const outcome = await connections.call(server, async connection => connection.promote(term, claimant, timeoutMs));
		if (Either.isLeft(outcome) || !outcome.right.granted) {
			const reason = Either.isLeft(outcome) ? errors.describe(outcome.left) : `${server} refused to become primary of term ${term}`;
			this.#record({kind: 'failed', part: 'promotion', reason});
			return false;
		}

		this.#group.observed.servers.get(server)?.learn({status: outcome.right.status, askedAt, receivedAt: this.#now()});
		return true;
	}

	/** Tells the other owners, and the other servers, until a majority follows. The rest goes on in the background. */
	async #announce(connections: control.Connections, primary: string, term: number): Promise<void> {
		this.#parts.peers.announce(this.#group.name, term, primary);
		const timeoutMs = this.#parts.timing.probeTimeoutMs * 2;
		let following = 1;
		const followed = new Promise<void>(resolve => {
			const tell = async (server: string): Promise<void> => {
				const outcome = await connections.call(server, async connection => connection.follow(primary, term, timeoutMs));
				following += Either.isRight(outcome) && outcome.right.granted ? 1 : 0;
				if (following >= this.#group.observed.majority) {
					resolve();
				}
			};

			const tellAll = async (): Promise<void> => {
				await Promise.all(connections.servers.filter(server => server !== primary).map(async server => tell(server)));
				connections.close();
				resolve();
			};

			void tellAll();
		});
		await followed;
	}

	/** Writes the group's object, for operators. A failure is left to the next change. */
	async #publish({term, claimant, to}: Change): Promise<void> {
		await claim.write(this.#parts.store, this.#group.name, {term, claimant, primary: to}, present => present.term <= term);
	}

	/** Work while the primary is well: makes servers follow it, and moves it off a server that is leaving. */
	async #maintain(signal: AbortSignal): Promise<void> {
		const leader = this.#leader();
		if (leader.server === '' || this.#isLost(leader.server)) {
			return;
		}

		await this.#repair(leader);
		const target = this.#group.isLeaving(leader.server) && this.#now() >= this.#nextMoveAt ? this.#successor(leader) : undefined;
		if (target === undefined) {
			return;
		}

		// Each owner sees that the server is leaving; the random time lets one of them begin.
		this.#nextMoveAt = this.#now() + moveRetryMs;
		await this.#sleep(this.#parts.random.integer(backoffLowMs, backoffHighMs), signal);
		if (!signal.aborted && this.#leader().server === leader.server) {
			const outcome = await this.move(target);
			if (Either.isLeft(outcome)) {
				this.#record({kind: 'failed', part: 'promotion', reason: errors.describe(outcome.left)});
			}
		}
	}

	#successor(leader: Leader): string | undefined {
		const candidates = this.#group.observed.statuses.filter(status => status.following === leader.server
			&& status.term === leader.term && !this.#group.isLeaving(status.server) && !this.#isLost(status.server));
		return candidates.toSorted((left, right) => position.compare(right.last, left.last))[0]?.server;
	}

	async #repair(leader: Leader): Promise<void> {
		for (const {server, term, following} of this.#group.observed.statuses) {
			const isFollowing = server === leader.server || (term === leader.term && following === leader.server);
			if (isFollowing || this.#isLost(server)) {
				this.#repairsDue.delete(server);
				continue;
			}

			const dueAt = this.#repairsDue.get(server) ?? this.#now() + this.#parts.random.integer(backoffLowMs, backoffHighMs);
			this.#repairsDue.set(server, dueAt);
			if (this.#now() >= dueAt) {
				this.#repairsDue.delete(server);
				await this.#instruct(server, leader);
			}
		}
	}

	async #instruct(server: string, leader: Leader): Promise<void> {
		const target = new Map([...this.#group.servers].filter(([name]) => name === server));
		const {probeTimeoutMs} = this.#parts.timing;
		const connections = new control.Connections(target, this.#group.clock, probeTimeoutMs);
		const outcome = await connections.call(server, async connection => connection.follow(leader.server, leader.term, probeTimeoutMs));
		connections.close();
		if (Either.isRight(outcome) && outcome.right.granted) {
			this.#record({
				kind: 'followed', term: leader.term, server, primary: leader.server,
			});
		}

		await this.#group.observed.servers.get(server)?.observe(probeTimeoutMs);
	}

	#record(event: Unnamed<Event>): void {
		this.#parts.recorder.record({...event, group: this.#group.name});
	}
}

type Unnamed<T> = T extends unknown ? Omit<T, 'group'> : never;
