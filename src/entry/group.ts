/**
This host's view of one service: its backend servers, the current leader, and the read indexes that bound the staleness
of reads.

A plain BEGIN succeeds only on the current leader, and its reply carries the end of the leader's log. A BEGIN sent at a
given time therefore yields a read index: every commit acknowledged before that time is at or before the returned
position. Acknowledged writes yield read indexes as well.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import * as notifier from '../core/notifier.js';
import * as random from '../core/random.js';
import * as position from '../core/position.js';
import type * as backend from './backend.js';
import type * as completeness from './completeness.js';
import * as confirmations from './confirmation.js';
import type * as decisions from './decisions.js';
import * as indexes from './group/indexes.js';
import * as losses from './group/losses.js';
import * as probes from './group/probes.js';
import * as insync from './insync.js';
import * as backoffs from './load/backoff.js';
import * as balancer from './load/balancer.js';
import * as member from './member.js';
import type * as statement from './statement.js';

/**
Limits on a host's connections to one server. Connections above `softLimit` are closed when unused; `hardLimit` is the maximum,
`startLimit` that of a host that is starting, by default `softLimit`. Where connections belong to customers, idle ones are kept
for `retentionMs` instead, and `placeLimits` is the maximum for servers in its places.
*/
export type Quota = {
	readonly softLimit: number;
	readonly hardLimit: number;
	readonly startLimit?: number;
	readonly retentionMs?: number;
	readonly placeLimits?: ReadonlyMap<string, number>;
};

export type Options = {
	readonly name: string;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Creates the client for a registered server. */
	readonly connect: (registration: types.Registration) => backend.Server;
	/** Whether this host can neither see the store nor be reached by another host. */
	readonly isIsolated: () => boolean;
	/** Random numbers for the choice of servers; by default those of the operating system. */
	readonly random?: random.Source;
};

/**
Idle time after which connections above the soft limit are closed. It is short, since servers count open connections for
several seconds after their host lost power, and the host can't reopen them meanwhile.
*/
const surplusIdleTimeoutMs = 250;
const tickMs = 50;
/** Tick while the group is idle; new work wakes it immediately. */
const idleTickMs = 1000;
/** Time without work after which a group is idle: it sends no polls and keeps no connections. */
const idleTimeoutMs = 5000;
/** Time after which a server without a registration is removed. A registration that expired while the store was unavailable returns within about 2 s. */
const missingGraceMs = 2500;

/** Tracks the servers, the leader and the read indexes of one service. */
export class Group {
	/** Notified when the leader, the read indexes or the servers change. */
	readonly changed = new notifier.Notifier();
	/** Decides which commits may be confirmed to their callers. */
	readonly confirmations: confirmations.Confirmations;
	/** Orders the servers for reads. */
	readonly balancer: balancer.Balancer<member.Member>;
	readonly #options: Options;
	readonly #random: random.Source;
	readonly #members = new Map<string, member.Member>();
	readonly #probes: probes.Probes;
	#quota: Quota = {softLimit: 1, hardLimit: 1};
	#isStarting = false;
	#lastAddedAt = Number.NEGATIVE_INFINITY;
	#acknowledged: statement.Position | null = null;
	#leader: member.Member | undefined;
	readonly #losses = new losses.Losses();
	readonly #inSync: insync.InSync;
	/** Clock time at which this host last received the confirmation of a leader. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#leaderEpoch = 0;
	#leaderlessSince: number;
	#lastUsedAt = Number.NEGATIVE_INFINITY;
	readonly #readIndexes = new indexes.ReadIndexes();

	constructor(options: Options) {
		this.#options = options;
		this.#inSync = new insync.InSync(options.clock);
		this.confirmations = new confirmations.Confirmations(options);
		this.#random = options.random ?? new random.System();
		this.balancer = new balancer.Balancer<member.Member>({...options, service: options.name, random: this.#random});
		this.#leaderlessSince = options.clock.now();
		this.#probes = new probes.Probes({
			clock: options.clock,
			readIndexes: this.#readIndexes,
			servers: () => this.#members.values(),
			leader: () => this.#leader,
			record: (server, sentAt, outcome) => {
				this.recordBegin(server, sentAt, outcome);
			},
		});
	}

	get name(): string {
		return this.#options.name;
	}

	get members(): readonly member.Member[] {
		return [...this.#members.values()];
	}

	/** The server last confirmed as leader that has not denied leadership since. */
	get leader(): member.Member | undefined {
		return this.#leader;
	}

	/** Whether one of the servers may lead without this host knowing it. */
	get mayHaveLeader(): boolean {
		return this.#leader === undefined && !this.#losses.hasRemovedLeader;
	}

	/** Ids of servers that disappeared without leaving. They may return with their logs and replicate again. */
	get absent(): readonly string[] {
		return this.#losses.absent;
	}

	/** Servers that are not registered any more and that may have been the last leader. */
	get departures(): readonly completeness.Departure[] {
		return this.#losses.departures;
	}

	/** Whether this host knows which servers the group had: it has a stored in-sync set, or has seen a leader. */
	get isMembershipKnown(): boolean {
		return this.#inSync.isStored || this.#leaderEpoch > 0;
	}

	/** Whether this host knows the in-sync set of the store, without which it can't tell which logs are complete. */
	get isInSyncLoaded(): boolean {
		return this.#inSync.isLoaded;
	}

	/** Ids of servers in the store's in-sync set that are not registered and that may have the only copy of a commit. */
	get missing(): readonly string[] {
		return this.#inSync.missing(this.members, this.#leader);
	}

	/** The in-sync set as it should be stored; `undefined` while this host can't tell. */
	get inSync(): types.Incarnation[] | undefined {
		return this.isActive ? this.#inSync.current(this.members, this.#leader) : undefined;
	}

	/** Takes over the in-sync set read from the store; `undefined` if it has none. */
	adopt(stored: readonly types.Incarnation[] | undefined): void {
		this.#inSync.adopt(stored, this.members);
	}

	/** Number of leader changes this host has observed. A position obtained in an earlier epoch is no longer valid. */
	get leaderEpoch(): number {
		return this.#leaderEpoch;
	}

	/** Clock time since which no leader has been known; `undefined` while one is known. */
	get leaderlessSince(): number | undefined {
		return this.#leader ? undefined : this.#leaderlessSince;
	}

	/** Whether there was recent work, so that servers are polled and connections kept. */
	get isActive(): boolean {
		return this.#options.clock.now() - this.#lastUsedAt < idleTimeoutMs;
	}

	/** Whether this host has no connection to the leader, or to a server that may lead, because of the servers' connection limits. */
	get isBlockedByLimit(): boolean {
		return this.#leader ? this.#leader.pool.isBlockedByLimit : this.members.some(({pool}) => pool.isBlockedByLimit);
	}

	/** Whether this host has just started and stays within the soft limit, so that requests queue for its few connections. */
	get isStarting(): boolean {
		return this.#isStarting;
	}

	/** Clock time at which the most recent server was added. */
	get lastAddedAt(): number {
		return this.#lastAddedAt;
	}

	/** The delays between attempts of one request at a server that is busy. */
	createBackoff(): backoffs.Backoff {
		return new backoffs.Backoff(this.#random);
	}

	/** Marks the group as active. After an idle period, earlier failures of its servers are cleared. */
	touch(): void {
		const wasActive = this.isActive;
		this.#lastUsedAt = this.#options.clock.now();
		if (!wasActive) {
			for (const server of this.#members.values()) {
				server.clearFailures();
			}

			this.#leaderlessSince = this.#lastUsedAt;
			this.#probes.expedite();
			this.changed.notify();
		}
	}

	/** Latest position known to be acknowledged. A server whose log lacks it must not become leader. */
	get acknowledged(): statement.Position | null {
		return this.#acknowledged;
	}

	/**
	Records an acknowledged commit. `before` is the end of the leader's log known before the commit was sent, `after` the end
	that its reply carried. `after` may include commits that are not acknowledged yet, so the acknowledged position
	advances only to the entry after `before`, or to `before` if the term changed in between.
	*/
	acknowledge(before: statement.Position | undefined, after: statement.Position): void {
		if (before) {
			const lowerBound = {term: before.term, index: before.index + (before.term === after.term ? 1 : 0)};
			this.#acknowledged = position.latest(this.#acknowledged, lowerBound);
		}
	}

	/** Sets the connection limits for each server. */
	resize(quota: Quota, isStarting = false): void {
		this.#isStarting = isStarting;
		this.#quota = isStarting ? {...quota, hardLimit: quota.startLimit ?? quota.softLimit, placeLimits: undefined} : quota;
		for (const {pool, registration} of this.#members.values()) {
			pool.resize(this.#limit(registration));
		}
	}

	/** Adds the server of a registration, or updates it. A new start time or address replaces the server. */
	register(registration: types.Registration): void {
		const {id, startedAt, address} = registration;
		const existing = this.#members.get(id);
		if (existing?.registration.startedAt === startedAt && existing.registration.address === address) {
			const {state, role} = existing.registration;
			existing.update(registration);
			if (state !== registration.state || role !== registration.role) {
				this.#options.decisions.record('server-changed', {
					service: this.name, server: id, state: registration.state, role: registration.role,
				});
				this.#probes.expedite();
				this.changed.notify();
			}

			return;
		}

		if (existing) {
			this.#recordLostLog(existing, this.#options.clock.now());
			this.#remove(existing, 'the server restarted');
		}

		const server = this.#options.connect(registration);
		this.#members.set(id, new member.Member(registration, server, this.#options.clock, {
			connectionLimit: this.#limit(registration), isSynchronized: this.#inSync.isAssumedComplete(registration, this.members),
		}));
		this.#lastAddedAt = this.#options.clock.now();
		this.#losses.recordArrival(id);
		this.#inSync.recordArrival(registration);
		this.#options.decisions.record('server-added', {
			service: this.name, server: id, address, place: registration.place, state: registration.state, role: registration.role,
		});
		this.#probes.expedite();
		this.changed.notify();
	}

	/** Marks a server's registration as missing. The server is removed if it stays missing for the grace period. */
	markMissing(id: string): void {
		const existing = this.#members.get(id);
		if (existing) {
			existing.missingSince ??= this.#options.clock.now();
		}
	}

	/** Polls the servers, so that the leader and a recent read index stay known, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#removeMissing();
			const {isActive} = this;
			for (const {pool} of this.#members.values()) {
				this.#trim(pool, isActive);
			}

			if (isActive) {
				this.#probes.poll();
			}

			await this.#options.clock.limit(this.changed.next(), isActive ? tickMs : idleTickMs);
		}

		for (const {pool} of this.#members.values()) {
			pool.close();
		}
	}

	/** Records that `server` was the leader at some time after `sentAt`, when its log ended at `logEnd`. */
	confirmLeader(server: member.Member, sentAt: clock.Mark, logEnd: statement.Position): void {
		if (this.#members.get(server.id) !== server) {
			return;
		}

		this.#losses.recordResponse(sentAt.monotonicMs);
		// A reply to an earlier request may come from a leader that has since been replaced.
		const isNewer = sentAt.monotonicMs > this.#confirmedAt;
		this.#confirmedAt = this.#options.clock.now();
		if (this.#leader !== server) {
			if (!isNewer) {
				return;
			}

			this.#setLeader(server, logEnd.term);
		}

		if (this.#readIndexes.add({requestedAt: sentAt, position: logEnd})) {
			this.changed.notify();
		}
	}

	/** Records that `server` replied to a request sent at `sentAt` that it is not the leader. */
	denyLeader(server: member.Member, sentAt: clock.Mark): void {
		if (this.#leader === server && sentAt.monotonicMs > this.#confirmedAt) {
			this.#clearLeader('the server reports that it is not the leader');
		}
	}

	/** Records that the leader has confirmed that it stepped down. Replies to earlier requests no longer confirm it. */
	recordStepDown(server: member.Member): void {
		this.#confirmedAt = this.#options.clock.now();
		if (this.#leader === server) {
			this.#clearLeader('the server stepped down');
		}
	}

	/** The leader, after waiting up to `timeoutMs` for one to be found. */
	async awaitLeader(timeoutMs: number): Promise<member.Member | undefined> {
		const deadline = this.#options.clock.now() + timeoutMs;
		for (let remainingMs = timeoutMs; !this.#leader && remainingMs > 0; remainingMs = deadline - this.#options.clock.now()) {
			await this.#options.clock.limit(this.changed.next(), remainingMs);
		}

		return this.#leader;
	}

	/** The oldest read index that satisfies a read which arrived at `arrivedAt` and tolerates data of age `maximumAgeMs`. */
	readIndex(arrivedAt: clock.Mark, maximumAgeMs: number): indexes.ReadIndex | undefined {
		return this.#readIndexes.oldestFor(arrivedAt, maximumAgeMs);
	}

	/** Like `readIndex`, but queries the leader if none is recent enough, and waits up to `timeoutMs`. */
	async awaitReadIndex(arrivedAt: clock.Mark, maximumAgeMs: number, timeoutMs: number): Promise<indexes.ReadIndex | undefined> {
		const deadline = this.#options.clock.now() + timeoutMs;
		let found = this.readIndex(arrivedAt, maximumAgeMs);
		for (let remainingMs = timeoutMs; !found && remainingMs > 0; remainingMs = deadline - this.#options.clock.now()) {
			if (this.#leader) {
				this.probe(this.#leader);
			}

			await this.#options.clock.limit(this.changed.next(), remainingMs);
			found = this.readIndex(arrivedAt, maximumAgeMs);
		}

		return found;
	}

	/** Checks whether a server is the leader, unless such a probe is already in flight. */
	probe(server: member.Member): void {
		this.#probes.probe(server);
	}

	/** Checks at once whether a server responds, also while statements hold all connections to it. */
	async verifyResponse(server: member.Member): Promise<void> {
		await this.#probes.verifyResponse(server);
	}

	/** Updates the server's status and the leader from the outcome of a plain BEGIN sent at `sentAt`. */
	recordBegin(server: member.Member, sentAt: clock.Mark, outcome: errors.Outcome<statement.Reply>): void {
		if (Either.isLeft(outcome)) {
			server.recordFailure(sentAt.monotonicMs);
			return;
		}

		server.recordResponse();
		const {refusal, position: logEnd} = outcome.right;
		server.recordPosition(logEnd);
		if (refusal === null && logEnd) {
			this.confirmLeader(server, sentAt, logEnd);
		} else if (refusal === 'read-only') {
			this.denyLeader(server, sentAt);
		}

		if (logEnd) {
			this.verifyLog(server, logEnd);
		}
	}

	/** Verifies a server's log against the latest known end of the leader's log that it contains. */
	verifyLog(server: member.Member, logEnd: statement.Position): void {
		const contained = this.#readIndexes.containedIn(logEnd);
		if (contained) {
			server.recordVerified(contained.requestedAt.monotonicMs);
		}
	}

	/** Maximum number of connections to a server. */
	#limit({place}: types.Registration): number {
		return this.#quota.placeLimits?.get(place) ?? this.#quota.hardLimit;
	}

	/** Closes an idle connection that is not to be kept. */
	#trim(connections: member.Member['pool'], isActive: boolean): void {
		const {softLimit, retentionMs} = this.#quota;
		if (retentionMs === undefined) {
			connections.trim(isActive ? softLimit : 0, surplusIdleTimeoutMs);
		} else {
			connections.trim(0, retentionMs);
		}
	}

	/**
	Removes servers whose registration stays missing. A replica takes the copies of acknowledged commits in its log along. If
	the leader is removed, every commit is still in the log of one of the replicas. While no leader is known, the first server
	that is removed may be the leader: if all others respond and none leads, it was.
	*/
	#removeMissing(): void {
		for (const server of this.#members.values()) {
			if (server.missingSince === undefined || this.#options.clock.now() - server.missingSince <= missingGraceMs) {
				continue;
			}

			this.#members.delete(server.id);
			this.#losses.recordRemoval(server, this.#options.clock.now());
			if (this.#leader === server || this.mayHaveLeader) {
				this.#losses.recordRemovedLeader(server.id);
			} else {
				this.#recordLostLog(server, Math.max(server.missingSince, server.lastResponseAt));
			}

			this.#remove(server, 'its registration is missing from the store');
		}
	}

	/** Records that the log of a replica was lost at clock time `lostAt`, so the others have to be compared with the leader since. */
	#recordLostLog(server: member.Member, lostAt: number): void {
		if (this.#leader === server || this.mayHaveLeader) {
			this.#losses.recordLeaderLog(server.id);
		} else {
			this.#requireComparison(server, lostAt);
		}
	}

	/** Requires that all logs but that of one server are compared with the leader's at clock time `since` or later. */
	#requireComparison(except: member.Member, since: number): void {
		for (const other of this.#members.values()) {
			if (other !== except) {
				other.recordLostLog(since);
			}
		}
	}

	#remove(server: member.Member, reason: string): void {
		server.pool.interrupt();
		server.pool.close();
		this.#inSync.recordDeparture(server.registration);
		this.#options.decisions.record('server-removed', {service: this.name, server: server.id, reason});
		if (this.#leader === server) {
			this.#clearLeader(reason);
		}

		this.changed.notify();
	}

	#setLeader(server: member.Member, term: number): void {
		const replaced = this.#leader;
		this.#leader = server;
		this.#leaderEpoch++;
		if (this.#losses.recordLeader(server.id)) {
			this.#requireComparison(server, this.#options.clock.now());
		}

		this.confirmations.recordLeader(server.id, term);
		this.#readIndexes.clear();
		this.#options.decisions.record('leader-found', {
			service: this.name, server: server.id, replaced: replaced?.id ?? '', leaderlessMs: replaced ? 0 : Math.round(this.#options.clock.now() - this.#leaderlessSince),
		});
		if (replaced?.failingSince !== undefined) {
			// The replaced leader doesn't respond; requests waiting for it can be served by the new leader.
			replaced.pool.interrupt();
		}

		this.changed.notify();
	}

	#clearLeader(reason: string): void {
		this.#options.decisions.record('leader-lost', {service: this.name, server: this.#leader?.id ?? '', reason});
		this.#leader = undefined;
		this.#leaderlessSince = this.#options.clock.now();
		this.#probes.expedite();
		this.changed.notify();
	}
}
