/**
Failover, with one task for each owned group. The task detects the loss of the primary, has other owners corroborate it,
claims a term, promotes the most advanced server that granted the term, and announces the new primary. It also makes
servers follow the primary, and moves the primary off a server that is leaving. Every step may safely be repeated or
delayed, because servers reject commands of an older term.
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

/** The timed phases of a change of primary. */
export type Phase = 'detection' | 'corroboration' | 'claim' | 'promotion' | 'announcement';

/** Why the primary changes: it failed, or it is moved as planned. */
export type Cause = 'failure' | 'move';

/** A completed change of primary. Durations in ms; a move has neither detection nor corroboration. */
export type Change = {
	readonly cause: Cause;
	readonly term: number;
	readonly claimant: string;
	/** The former primary; empty if none was known. */
	readonly from: string;
	readonly to: string;
	readonly durations: Readonly<Record<Phase, number>>;
};

/** Actions of the failover task, for logs and metrics. */
export type Event =
	| {readonly kind: 'suspected'; readonly group: string; readonly term: number; readonly server: string; readonly silentMs: number}
	| {readonly kind: 'cleared'; readonly group: string; readonly term: number; readonly server: string}
	| {readonly kind: 'failed'; readonly group: string; readonly part: Phase; readonly reason: string}
	| {readonly kind: 'changed'; readonly group: string; readonly change: Change}
	| {readonly kind: 'followed'; readonly group: string; readonly term: number; readonly server: string; readonly primary: string};

/** Receives the events of the failover task. */
export abstract class Recorder {
	abstract record(event: Event): void;
}

/** Times in ms, from the settings. */
export type Timing = Pick<types.Timing, 'probeTimeoutMs' | 'suspectAfterMs' | 'isolationDelayMs'>;

/** Dependencies and settings of the failover task. */
export type Options = {
	readonly group: group.Group;
	/** Name of this host, used as the prefix of claimant names. */
	readonly host: string;
	readonly timing: Timing;
	readonly random: random.Source;
	readonly policy: claim.Policy;
	readonly peers: peers.Peers;
	readonly store: store.Store;
	readonly recorder: Recorder;
};

/** The primary of the highest observed term; an empty name if that term has none. */
type Leader = {readonly server: string; readonly term: number};
type Suspicion = Leader & {readonly silentMs: number};
type Attempt = {
	readonly cause: Cause;
	readonly from: string;
	/** Server to promote unless another one is more advanced. */
	readonly preferred: string;
	readonly detectionMs: number;
	readonly corroborationMs: number;
	readonly control: control.Connections;
};

const pollIntervalMs = 50;
/**
A sleep that overruns by more than this means that the process was paused. Missing responses during the pause are then no
sign that a server is lost.
*/
const pauseThresholdMs = 250;
const corroborationTimeoutMs = 200;
const corroborationIntervalMs = 50;
const minBackoffMs = 50;
const maxBackoffMs = 300;
/** Maximum time for which a planned move waits for its target to catch up, before writes are stopped. */
const catchUpTimeoutMs = 2000;
const moveRetryDelayMs = 5000;

/** Changes and repairs the primary of one group. */
export class Promotion {
	readonly #options: Options;
	readonly #group: group.Group;
	/** Time of the clock in ms at which a server that doesn't follow the primary is next sent `group_follow`. */
	readonly #repairDueAt = new Map<string, number>();
	#resumedAt: number;
	#leaderless: {term: number; since: number} | undefined;
	#highestTerm = 0;
	#nextMoveAt = 0;
	#lastChange: Change | undefined;
	#isChanging = false;

	constructor(options: Options) {
		this.#options = options;
		this.#group = options.group;
		this.#resumedAt = options.group.clock.now();
	}

	/** The last change of primary that this host completed. */
	get lastChange(): Change | undefined {
		return this.#lastChange;
	}

	/** Runs the failover task until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const suspicion = this.#suspect();
			if (!this.#isChanging) {
				await (suspicion ? this.#replace(suspicion, signal) : this.#maintain(signal));
			}

			await this.#sleep(pollIntervalMs, signal);
		}
	}

	/** Whether this host also suspects that `server`, the primary of `term`, is lost. Responds to another owner's query. */
	suspects(term: number, server: string): boolean {
		const leader = this.#leader();
		const isReplaced = leader.server !== '' && leader.server !== server && leader.term >= term;
		return !isReplaced && this.#suspect() !== undefined;
	}

	/** Handles another owner's notice of a new primary by polling that server at once. */
	receiveNotice(term: number, server: string): void {
		if (term >= this.#group.observer.highestTerm) {
			void this.#group.observer.servers.get(server)?.observe(this.#options.timing.probeTimeoutMs);
		}
	}

	/**
	Moves the primary to `target` as a planned change. No acknowledged write is lost, and writes are delayed by about three
	round trips.

	Errors: `not-run` if the current primary does not respond, the target can't catch up, or another change is in progress.

	@example
	```
	const outcome = await promotion.move('b');
	```
	*/
	async move(target: string): Promise<errors.Outcome<Change>> {
		const {server, term} = this.#leader();
		const current = this.#group.observer.servers.get(server)?.latest;
		const candidate = this.#group.observer.servers.get(target);
		if (this.#isChanging || !current || !candidate || server === target) {
			return errors.fail('not-run', 'promote', target, 'the primary or the target is not known, the target is already primary, or another change is in progress');
		}

		this.#isChanging = true;
		try {
			const caughtUp = await candidate.awaitPosition(current.status.last, catchUpTimeoutMs);
			if (caughtUp?.status.following !== server || caughtUp.status.term !== term) {
				return errors.fail('not-run', 'promote', target, `the server does not follow primary ${server} in its term, or did not catch up in time`);
			}

			const change = await this.#attempt({
				cause: 'move', from: server, preferred: target, detectionMs: 0, corroborationMs: 0, control: this.#openConnections(),
			});
			return change?.to === target
				? Either.right(change)
				: errors.fail('not-run', 'promote', target, 'the change of primary did not complete, or a more advanced server was promoted instead of the target');
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
		this.#detectPause(before, ms);
	}

	#detectPause(before: number, expectedMs: number): void {
		if (this.#now() - before > expectedMs + pauseThresholdMs) {
			this.#resumedAt = this.#now();
		}
	}

	#openConnections(): control.Connections {
		return new control.Connections(this.#group.servers, this.#group.clock, this.#options.timing.probeTimeoutMs);
	}

	/**
	The primary of the highest term: the server that reports this role, else the server that others follow in that term,
	unless that server reports this term without being primary.
	*/
	#leader(): Leader {
		const {statuses, highestTerm: term, primary} = this.#group.observer;
		if (primary?.status.term === term) {
			return {server: primary.status.server, term};
		}

		const followed = statuses.find(status => status.term === term && status.following !== '')?.following ?? '';
		const isDenied = statuses.some(({server, term: serverTerm}) => server === followed && serverTerm === term);
		return {server: isDenied ? '' : followed, term};
	}

	#unresponsiveMs(server: string): number {
		const lastResponseAt = this.#group.observer.servers.get(server)?.lastResponseAt ?? Number.NEGATIVE_INFINITY;
		return this.#now() - Math.max(lastResponseAt, this.#resumedAt);
	}

	/** Whether a server does not respond, or refuses connections. */
	#isLost(server: string): boolean {
		return this.#unresponsiveMs(server) >= this.#options.timing.suspectAfterMs || (this.#group.observer.servers.get(server)?.refusals ?? 0) >= 2;
	}

	/** A suspicion if the primary is lost, or if the highest term has had no primary for `suspectAfterMs`. */
	#suspect(): Suspicion | undefined {
		const leader = this.#leader();
		if (leader.server !== '') {
			this.#leaderless = undefined;
			return this.#isLost(leader.server) ? {...leader, silentMs: this.#unresponsiveMs(leader.server)} : undefined;
		}

		if (this.#leaderless?.term !== leader.term) {
			this.#leaderless = {term: leader.term, since: this.#now()};
		}

		const unresponsiveMs = this.#now() - Math.max(this.#leaderless.since, this.#resumedAt);
		return unresponsiveMs >= this.#options.timing.suspectAfterMs ? {...leader, silentMs: unresponsiveMs} : undefined;
	}

	#isMajorityReachable(): boolean {
		const reachable = [...this.#group.servers.keys()].filter(server => !this.#isLost(server));
		return reachable.length >= this.#group.observer.majority;
	}

	/** Waits until a suspicion is corroborated, then replaces the primary. */
	async #replace(suspicion: Suspicion, signal: AbortSignal): Promise<void> {
		const startedAt = this.#now();
		this.#isChanging = true;
		this.#record({kind: 'suspected', ...suspicion});
		const connections = this.#openConnections();
		try {
			if (!await this.#corroborate(suspicion, signal)) {
				this.#record({kind: 'cleared', term: suspicion.term, server: suspicion.server});
				connections.close();
				return;
			}

			const corroborationMs = this.#now() - startedAt;
			await this.#changePrimary({
				cause: 'failure', from: suspicion.server, preferred: '', detectionMs: suspicion.silentMs, corroborationMs, control: connections,
			}, signal);
		} finally {
			this.#isChanging = false;
		}
	}

	/**
	Waits until an owner in another place shares the suspicion, or until no such owner has responded for
	`isolationDelayMs`. In both cases a majority of the servers must be reachable, which shows that this host is not cut off.
	Returns false if the suspicion clears.
	*/
	async #corroborate({term, server}: Suspicion, signal: AbortSignal): Promise<boolean> {
		let isolatedSince: number | undefined;
		while (!signal.aborted && this.#suspect()) {
			const before = this.#now();
			const votes = await this.#options.peers.corroborate(this.#group.name, term, server, corroborationTimeoutMs);
			this.#detectPause(before, corroborationTimeoutMs);
			const remoteVotes = votes.filter(({place}) => place !== this.#group.place);
			isolatedSince = remoteVotes.length === 0 ? isolatedSince ?? before : undefined;
			const isIsolationOver = isolatedSince !== undefined && this.#now() - isolatedSince >= this.#options.timing.isolationDelayMs;
			const isShared = remoteVotes.some(({isSuspected}) => isSuspected);
			if ((isShared || isIsolationOver) && this.#isMajorityReachable() && this.#suspect()) {
				return true;
			}

			await this.#sleep(corroborationIntervalMs, signal);
		}

		return false;
	}

	/** Attempts to change the primary until that succeeds, a primary is confirmed, or no majority is reachable. */
	async #changePrimary(attempt: Attempt, signal: AbortSignal): Promise<void> {
		let {control: connections} = attempt;
		while (!signal.aborted) {
			if (await this.#attempt({...attempt, control: connections})) {
				return;
			}

			// Another owner may have succeeded. The random backoff resolves contention between owners that have not.
			const backoffMs = this.#options.random.integer(minBackoffMs, maxBackoffMs);
			const before = this.#now();
			const confirmed = await this.#group.observer.readIndex(backoffMs);
			this.#detectPause(before, backoffMs);
			if (Either.isRight(confirmed) || !this.#isMajorityReachable()) {
				return;
			}

			connections = this.#openConnections();
		}

		connections.close();
	}

	/** Claims a term and promotes one server in it. A claim is never used for a second server. */
	async #attempt(attempt: Attempt): Promise<Change | undefined> {
		const {control: connections, from, preferred} = attempt;
		const startedAt = this.#now();
		const claimant = `${this.#options.host}-${this.#options.random.id()}`;
		const term = Math.max(this.#highestTerm, this.#group.observer.highestTerm) + 1;
		this.#highestTerm = term;
		const result = await this.#options.policy.claim({
			group: this.#group.name,
			term,
			claimant,
			majority: this.#group.observer.majority,
			control: connections,
			unresponsive: new Set([...this.#group.servers.keys()].filter(server => this.#isLost(server))),
			timeoutMs: this.#options.timing.probeTimeoutMs * 2,
			transfer: attempt.cause === 'move' ? {from, to: preferred} : undefined,
		});
		if (result.kind === 'refused') {
			this.#highestTerm = Math.max(term, result.highestTerm);
			this.#record({kind: 'failed', part: 'claim', reason: result.reason});
			connections.close();
			return undefined;
		}

		const claimedAt = this.#now();
		const to = this.#selectServer(result.grants, preferred);
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
				detection: attempt.detectionMs,
				corroboration: attempt.corroborationMs,
				claim: claimedAt - startedAt,
				promotion: promotedAt - claimedAt,
				announcement: this.#now() - promotedAt,
			},
		};
		this.#lastChange = change;
		this.#record({kind: 'changed', change});
		void this.#publish(change);
		return change;
	}

	/** Selects the most advanced server. Its log contains every acknowledged write, since a majority granted the term. */
	#selectServer(grants: readonly backend.Status[], preferred: string): string {
		const rank = (server: string): number => (server === preferred ? 2 : 0) + (this.#group.isLeaving(server) ? 0 : 1);
		const [best] = grants.toSorted((left, right) => position.compare(right.last, left.last) || rank(right.server) - rank(left.server));
		return best?.server ?? '';
	}

	async #promote(connections: control.Connections, server: string, term: number, claimant: string): Promise<boolean> {
		const requestedAt = this.#now();
		const timeoutMs = this.#options.timing.probeTimeoutMs * 2;
		const outcome = await connections.call(server, async connection => connection.promote(term, claimant, timeoutMs));
		if (Either.isLeft(outcome) || !outcome.right.granted) {
			const reason = Either.isLeft(outcome) ? errors.describe(outcome.left) : `${server} refused to become primary of term ${term}`;
			this.#record({kind: 'failed', part: 'promotion', reason});
			return false;
		}

		this.#group.observer.servers.get(server)?.update({status: outcome.right.status, requestedAt, receivedAt: this.#now()});
		return true;
	}

	/**
	Notifies the other owners and the other servers. Returns once a majority follows or every server has responded; the
	remaining calls continue in the background.
	*/
	async #announce(connections: control.Connections, primary: string, term: number): Promise<void> {
		this.#options.peers.announce(this.#group.name, term, primary);
		const timeoutMs = this.#options.timing.probeTimeoutMs * 2;
		let following = 1;
		const followed = new Promise<void>(resolve => {
			const notify = async (server: string): Promise<void> => {
				const outcome = await connections.call(server, async connection => connection.follow(primary, term, timeoutMs));
				following += Either.isRight(outcome) && outcome.right.granted ? 1 : 0;
				if (following >= this.#group.observer.majority) {
					resolve();
				}
			};

			const notifyAll = async (): Promise<void> => {
				await Promise.all(connections.servers.filter(server => server !== primary).map(async server => notify(server)));
				connections.close();
				resolve();
			};

			void notifyAll();
		});
		await followed;
	}

	/** Writes the group's object to the store, for operators. A failed write is not retried before the next change. */
	async #publish({term, claimant, to}: Change): Promise<void> {
		await claim.write(this.#options.store, this.#group.name, {term, claimant, primary: to}, current => current.term <= term);
	}

	/** While the primary responds, makes servers follow it, and moves the primary off a server that is leaving. */
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

		// Every owner observes that the server is leaving. The random delay lets one of them start the move first.
		this.#nextMoveAt = this.#now() + moveRetryDelayMs;
		await this.#sleep(this.#options.random.integer(minBackoffMs, maxBackoffMs), signal);
		if (!signal.aborted && this.#leader().server === leader.server) {
			const outcome = await this.move(target);
			if (Either.isLeft(outcome)) {
				this.#record({kind: 'failed', part: 'promotion', reason: errors.describe(outcome.left)});
			}
		}
	}

	#successor(leader: Leader): string | undefined {
		const candidates = this.#group.observer.statuses.filter(status => status.following === leader.server
			&& status.term === leader.term && !this.#group.isLeaving(status.server) && !this.#isLost(status.server));
		return candidates.toSorted((left, right) => position.compare(right.last, left.last))[0]?.server;
	}

	async #repair(leader: Leader): Promise<void> {
		for (const {server, term, following} of this.#group.observer.statuses) {
			const isFollowing = server === leader.server || (term === leader.term && following === leader.server);
			if (isFollowing || this.#isLost(server)) {
				this.#repairDueAt.delete(server);
				continue;
			}

			const dueAt = this.#repairDueAt.get(server) ?? this.#now() + this.#options.random.integer(minBackoffMs, maxBackoffMs);
			this.#repairDueAt.set(server, dueAt);
			if (this.#now() >= dueAt) {
				this.#repairDueAt.delete(server);
				await this.#sendFollow(server, leader);
			}
		}
	}

	async #sendFollow(server: string, leader: Leader): Promise<void> {
		const target = new Map([...this.#group.servers].filter(([name]) => name === server));
		const {probeTimeoutMs} = this.#options.timing;
		const connections = new control.Connections(target, this.#group.clock, probeTimeoutMs);
		const outcome = await connections.call(server, async connection => connection.follow(leader.server, leader.term, probeTimeoutMs));
		connections.close();
		if (Either.isRight(outcome) && outcome.right.granted) {
			this.#record({
				kind: 'followed', term: leader.term, server, primary: leader.server,
			});
		}

		await this.#group.observer.servers.get(server)?.observe(probeTimeoutMs);
	}

	#record(event: WithoutGroup<Event>): void {
		this.#options.recorder.record({...event, group: this.#group.name});
	}
}

type WithoutGroup<T> = T extends unknown ? Omit<T, 'group'> : never;
