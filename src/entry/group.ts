/**
One service as an entry host sees it: its servers, which of them leads, and positions that reads may rely on.

A plain BEGIN succeeds only at the server that leads at that moment, and its answer carries the end of the log. So a BEGIN
sent at some time gives a floor: every commit acknowledged before that time is at or before that position. Acknowledged
writes give floors as well.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import * as notifier from '../core/notifier.js';
import * as position from '../core/position.js';
import type * as backend from './backend.js';
import type * as decisions from './decisions.js';
import * as member from './member.js';
import type * as statement from './statement.js';

/** A position and the time at which it was asked for. */
export type Floor = {readonly at: clock.Mark; readonly position: statement.Position};

/** Connections that a host may have to one server: those that it may keep, and those that it may open when it needs them. */
export type Share = {readonly usual: number; readonly most: number};

/** What a group needs. */
export type Parts = {
	readonly name: string;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Makes the server of a registration. */
	readonly connect: (registration: types.Registration) => backend.Server;
};

/** A floor this old in ms is replaced, so that aged reads find a young one without asking first. */
const floorIntervalMs = 250;
/** Floors that are kept, and the least time in ms between two: together more than the greatest stated age. */
const floorLimit = 100;
const floorSpacingMs = 40;
/** Uncertainty in ms of the difference of two marks: the time of day is read in whole ms. */
const markErrorMs = 5;
/** Time in ms for a question that takes no slot at the server. */
const probeTimeoutMs = 300;
/** Idle time in ms after which a connection beyond the usual number is closed. */
const surplusIdleMs = 1000;
/** Time in ms between two looks at what is due. */
const tickMs = 50;
/** The same while the group rests; work wakes it at once. */
const restTickMs = 1000;
/** Time in ms between two rounds of asking the replicas for the ends of their logs. */
const surveyIntervalMs = 1000;
/** Age in ms of a floor that replicas with ordinary lag have reached. */
const settleMs = 500;
/** Servers of a new group start within this time in ms. */
const commonStartMs = 10_000;
/** Time in ms between two rounds of asking all servers which of them leads. */
const searchIntervalMs = 100;
/** Time in ms without work after which a group rests: it asks its servers nothing and keeps no connections. */
const restAfterMs = 5000;
/** A registration that lapsed while the store was away is back within about 2 s; one that is missing for longer is gone. */
const missingGraceMs = 2500;

/** One service. */
export class Group {
	/** Wakes those who wait for a leader, a floor or a server. */
	readonly changed = new notifier.Notifier();
	readonly #parts: Parts;
	readonly #members = new Map<string, member.Member>();
	/** Servers that are being asked whether they lead. */
	readonly #probes = new Set<string>();
	#share: Share = {usual: 1, most: 1};
	#grownAt = Number.NEGATIVE_INFINITY;
	#acknowledged: statement.Position | null = null;
	#lead: member.Member | undefined;
	/** Time of the clock at which any server's lead was last confirmed to this host. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#reign = 0;
	#leaderlessSince: number;
	#searchedAt = Number.NEGATIVE_INFINITY;
	#usedAt = Number.NEGATIVE_INFINITY;
	#floors: Floor[] = [];

	constructor(parts: Parts) {
		this.#parts = parts;
		this.#leaderlessSince = parts.clock.now();
	}

	get name(): string {
		return this.#parts.name;
	}

	get members(): readonly member.Member[] {
		return [...this.#members.values()];
	}

	/** The server that was last confirmed to lead and has not denied it since. */
	get leader(): member.Member | undefined {
		return this.#lead;
	}

	/** Counts the leaders that this host has seen. A position that was learned under another count has no meaning now. */
	get reign(): number {
		return this.#reign;
	}

	/** Time of the clock since which no leader is known; `undefined` while one is. */
	get leaderlessSince(): number | undefined {
		return this.#lead ? undefined : this.#leaderlessSince;
	}

	/** Whether this host works in the service, so that it must know its servers. */
	get isInUse(): boolean {
		return this.#parts.clock.now() - this.#usedAt < restAfterMs;
	}

	/** Time of the clock at which the last server was added. */
	get grownAt(): number {
		return this.#grownAt;
	}

	/** Notes that there is work. After a rest, nothing that was seen of the servers before it counts as a failure. */
	use(): void {
		const wasInUse = this.isInUse;
		this.#usedAt = this.#parts.clock.now();
		if (!wasInUse) {
			for (const server of this.#members.values()) {
				server.renew();
			}

			this.#leaderlessSince = this.#usedAt;
			this.#searchedAt = Number.NEGATIVE_INFINITY;
			this.changed.notify();
		}
	}

	/** The latest position that this host saw acknowledged. No server without it may lead. */
	get acknowledged(): statement.Position | null {
		return this.#acknowledged;
	}

	/**
	Notes an acknowledged commit: the end of the leader's log that was known before it was sent, and the end with the
	answer. The latter may include commits that nobody acknowledged, so all that is certain is that the commit came after
	the former.
	*/
	acknowledge(before: statement.Position | undefined, after: statement.Position): void {
		if (before) {
			const least = {term: before.term, index: before.index + (before.term === after.term ? 1 : 0)};
			this.#acknowledged = position.latest(this.#acknowledged, least);
		}
	}

	/** Changes the number of connections that this host may have to each server. */
	resize(share: Share): void {
		this.#share = share;
		for (const {pool} of this.#members.values()) {
			pool.resize(share.most);
		}
	}

	/** Takes a server's registration. */
	register(registration: types.Registration): void {
		const {id, startedAt, address} = registration;
		const known = this.#members.get(id);
		if (known?.registration.startedAt === startedAt && known.registration.address === address) {
			const {state, role} = known.registration;
			known.update(registration);
			if (state !== registration.state || role !== registration.role) {
				this.#parts.decisions.record('server-changed', {
					service: this.name, server: id, state: registration.state, role: registration.role,
				});
				this.#searchedAt = Number.NEGATIVE_INFINITY;
				this.changed.notify();
			}

			return;
		}

		if (known) {
			this.#remove(known, 'it started again');
		}

		const server = this.#parts.connect(registration);
		this.#members.set(id, new member.Member(registration, server, this.#parts.clock, {share: this.#share.most, isTrusted: this.#isTrusted(registration)}));
		this.#grownAt = this.#parts.clock.now();
		this.#parts.decisions.record('server-added', {
			service: this.name, server: id, address, place: registration.place, state: registration.state, role: registration.role,
		});
		this.#searchedAt = Number.NEGATIVE_INFINITY;
		this.changed.notify();
	}

	/** Notes that a server's registration is missing. It counts as gone some time later. */
	miss(id: string): void {
		const known = this.#members.get(id);
		if (known) {
			known.missingSince ??= this.#parts.clock.now();
		}
	}

	/** The task that keeps a leader and a young floor known, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#expire();
			const {isInUse} = this;
			for (const {pool} of this.#members.values()) {
				pool.trim(isInUse ? this.#share.usual : 0, surplusIdleMs);
			}

			if (isInUse) {
				this.#ask();
			}

			await this.#parts.clock.limit(this.changed.next(), isInUse ? tickMs : restTickMs);
		}

		for (const {pool} of this.#members.values()) {
			pool.close();
		}
	}

	/** Notes that `server` led after `sentAt` and that its log ended at `position`. */
	confirm(server: member.Member, sentAt: clock.Mark, end: statement.Position): void {
		if (this.#members.get(server.id) !== server) {
			return;
		}

		// An answer to an earlier question may come from a leader that was replaced meanwhile.
		const isLater = sentAt.monotonicMs > this.#confirmedAt;
		this.#confirmedAt = this.#parts.clock.now();
		if (this.#lead !== server) {
			if (!isLater) {
				return;
			}

			this.#follow(server);
		}

		const latest = this.#floors.at(-1);
		if (!latest || sentAt.monotonicMs - latest.at.monotonicMs >= floorSpacingMs) {
			this.#floors.push({at: sentAt, position: end});
			this.#floors = this.#floors.slice(-floorLimit);
			this.changed.notify();
		}
	}

	/** Notes that `server` answered a question sent at `sentAt` by saying that it does not lead. */
	deny(server: member.Member, sentAt: clock.Mark): void {
		if (this.#lead === server && sentAt.monotonicMs > this.#confirmedAt) {
			this.#depose('it says that it does not lead');
		}
	}

	/** The leader, waiting for one to appear for up to `ms`. */
	async awaitLeader(ms: number): Promise<member.Member | undefined> {
		const end = this.#parts.clock.now() + ms;
		for (let left = ms; !this.#lead && left > 0; left = end - this.#parts.clock.now()) {
			await this.#parts.clock.limit(this.changed.next(), left);
		}

		return this.#lead;
	}

	/** The oldest floor that a read which arrived at `arrivedAt` and accepts data of `maximumAgeMs` may rely on. */
	floor(arrivedAt: clock.Mark, maximumAgeMs: number): Floor | undefined {
		return this.#floors.find(({at}) => clock.between(at, arrivedAt) <= maximumAgeMs - markErrorMs);
	}

	/** As `floor`, but asks the leader if there is none, and waits for up to `ms`. */
	async awaitFloor(arrivedAt: clock.Mark, maximumAgeMs: number, ms: number): Promise<Floor | undefined> {
		const end = this.#parts.clock.now() + ms;
		let found = this.floor(arrivedAt, maximumAgeMs);
		for (let left = ms; !found && left > 0; left = end - this.#parts.clock.now()) {
			if (this.#lead) {
				this.probe(this.#lead);
			}

			await this.#parts.clock.limit(this.changed.next(), left);
			found = this.floor(arrivedAt, maximumAgeMs);
		}

		return found;
	}

	/** Asks a server whether it leads, unless that question is under way. */
	probe(server: member.Member): void {
		if (!this.#probes.has(server.id)) {
			this.#probes.add(server.id);
			void this.#probe(server);
		}
	}

	/** Learns from the outcome of a plain BEGIN that was sent to `server` at `sentAt`. */
	note(server: member.Member, sentAt: clock.Mark, begun: errors.Outcome<statement.Reply>): void {
		if (Either.isLeft(begun)) {
			server.failed(sentAt.monotonicMs);
			return;
		}

		server.answered();
		const {refusal, position: end} = begun.right;
		server.holds(end);
		if (refusal === null && end) {
			this.confirm(server, sentAt, end);
		} else if (refusal === 'read-only') {
			this.deny(server, sentAt);
		}
	}

	async #probe(server: member.Member): Promise<void> {
		try {
			await this.#begin(server);
		} finally {
			this.#probes.delete(server.id);
		}
	}

	async #begin(server: member.Member): Promise<void> {
		const startedAt = this.#parts.clock.now();
		const acquired = await server.pool.acquire(probeTimeoutMs);
		if (Either.isLeft(acquired)) {
			// Without a free connection, traffic tells whether the server answers.
			if (server.pool.busy === 0) {
				server.failed(startedAt);
			}

			return;
		}

		const connection = acquired.right;
		const sentAt = this.#parts.clock.mark();
		const [begun] = await Promise.all([
			connection.send({kind: 'begin'}, probeTimeoutMs),
			connection.send({kind: 'rollback'}, probeTimeoutMs),
		]);
		await server.pool.release(connection, 'clean');
		this.note(server, sentAt, begun);
	}

	#ask(): void {
		const {clock: time} = this.#parts;
		if (this.#lead) {
			const latest = this.#floors.at(-1);
			if (!latest || clock.between(latest.at, time.mark()) > floorIntervalMs) {
				this.probe(this.#lead);
			}

			if (this.#lead.failingSince === undefined) {
				this.#survey();
				return;
			}
		}

		// While no leader answers, all are asked: one of them may have been promoted by another host.
		if (time.now() - this.#searchedAt >= searchIntervalMs) {
			this.#searchedAt = time.now();
			for (const server of this.#members.values()) {
				this.probe(server);
			}
		}
	}

	/** Asks the replicas now and then for the ends of their logs, and compares these with the leader's. */
	#survey(): void {
		const now = this.#parts.clock.now();
		if (now - this.#searchedAt < surveyIntervalMs) {
			return;
		}

		this.#searchedAt = now;
		const settled = this.#floors.findLast(({at}) => now - at.monotonicMs > settleMs);
		for (const server of this.#members.values()) {
			if (settled) {
				server.compare(settled.position, settled.at.monotonicMs);
			}

			if (server !== this.#lead) {
				this.probe(server);
			}
		}
	}

	/**
	Whether a server that was just added is taken to hold its predecessor's log. When this host starts it can't know, and
	takes servers that started with the others for complete.
	*/
	#isTrusted({startedAt}: types.Registration): boolean {
		const earliest = Math.min(startedAt, ...this.members.map(({registration}) => registration.startedAt));
		return startedAt - earliest < commonStartMs;
	}

	#expire(): void {
		for (const server of this.#members.values()) {
			if (server.missingSince !== undefined && this.#parts.clock.now() - server.missingSince > missingGraceMs) {
				this.#members.delete(server.id);
				this.#remove(server, 'its registration is gone');
			}
		}
	}

	#remove(server: member.Member, reason: string): void {
		server.pool.interrupt();
		server.pool.close();
		this.#parts.decisions.record('server-removed', {service: this.name, server: server.id, reason});
		if (this.#lead === server) {
			this.#depose(reason);
		}

		this.changed.notify();
	}

	#follow(server: member.Member): void {
		const replaced = this.#lead;
		this.#lead = server;
		this.#reign++;
		this.#floors = [];
		this.#parts.decisions.record('leader-found', {
			service: this.name, server: server.id, replaced: replaced?.id ?? '', leaderlessMs: replaced ? 0 : Math.round(this.#parts.clock.now() - this.#leaderlessSince),
		});
		if (replaced?.failingSince !== undefined) {
			// It is silent, and whoever waits for it could be served by the new leader.
			replaced.pool.interrupt();
		}

		this.changed.notify();
	}

	#depose(reason: string): void {
		this.#parts.decisions.record('leader-lost', {service: this.name, server: this.#lead?.id ?? '', reason});
		this.#lead = undefined;
		this.#leaderlessSince = this.#parts.clock.now();
		this.#searchedAt = Number.NEGATIVE_INFINITY;
		this.changed.notify();
	}
}
