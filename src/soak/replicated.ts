/**
An in-memory database group with synchronous replication: one log with terms for each server; a commit is acknowledged
once one replica has received it.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as position from '../core/position.js';

/** A committed transaction: the ids and texts of its write requests. */
export type Entry = {readonly term: number; readonly writes: ReadonlyArray<{readonly id: string; readonly text: string}>};

/** Receives the log of the new primary after each promotion. */
export type PromotionListener = {promoted(group: string, log: readonly Entry[]): void};

/** Default replication lag. A commit waits only for the faster of the two replicas. */
export const defaultLagMs = 60;

/** A server of the group with its copy of the log. */
export class Server {
	readonly id: string;
	readonly place: string;
	readonly startedAt = Date.now();
	role: types.Role;
	term = 1;
	heldTerm = 0;
	log: Entry[] = [];
	/** The server neither responds to requests nor receives replication. */
	isUnresponsive = false;
	/** Replication lag. */
	lagMs = defaultLagMs;
	/** The server responds but receives no replication. */
	isDeaf = false;
	/** Fraction of responses that are lost, from 0 to 1. */
	lossRate = 0;

	constructor(id: string, place: string, role: types.Role) {
		this.id = id;
		this.place = place;
		this.role = role;
	}

	get end(): position.Position {
		return {term: this.term, index: this.log.length};
	}
}

const promotionMs = 300;
const minFetchIntervalMs = 20;
/** Time after which a commit that no replica has received fails. */
const commitTimeoutMs = 4000;

/** A group whose first server starts as primary. */
export class Group {
	readonly name: string;
	readonly servers: readonly Server[];
	readonly #clock: clock.Clock;
	readonly #listener: PromotionListener;
	#orderCount = 0;

	constructor(name: string, places: readonly string[], time: clock.Clock, listener: PromotionListener) {
		this.name = name;
		this.#clock = time;
		this.#listener = listener;
		this.servers = places.map((place, index) => new Server(`${name}-${index}`, place, index === 0 ? 'primary' : 'replica'));
	}

	/** Number of accepted orders of a promotion. */
	get orderCount(): number {
		return this.#orderCount;
	}

	/** Replicates to all servers until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.servers.map(async server => {
			while (!signal.aborted) {
				await this.#clock.sleep(Math.max(minFetchIntervalMs, server.lagMs), signal);
				this.#replicate(server);
			}
		}));
	}

	/** Appends to the primary's log. Returns false if no replica received the entry in time, or if the server was replaced as primary. */
	async commit(server: Server, writes: Entry['writes']): Promise<boolean> {
		const {term} = server;
		server.log.push({term, writes});
		const index = server.log.length;
		const end = this.#clock.now() + commitTimeoutMs;
		while (this.#clock.now() < end && server.role === 'primary' && server.term === term) {
			if (this.servers.some(other => other !== server && other.term === term && other.log.length >= index)) {
				return true;
			}

			await this.#clock.sleep(1);
		}

		return false;
	}

	/** Starts the promotion of a running server, with the log it has received, and returns without waiting for it. */
	promote(id: string): boolean {
		const target = this.servers.find(server => server.id === id);
		if (!target || target.isUnresponsive) {
			return false;
		}

		this.#orderCount++;
		void this.#promote(target);
		return true;
	}

	async #promote(target: Server): Promise<void> {
		await this.#clock.sleep(promotionMs);
		if (target.role === 'primary' || target.isUnresponsive) {
			return;
		}

		for (const server of this.servers) {
			server.role = server === target ? 'primary' : 'replica';
		}

		target.term = Math.max(...this.servers.map(({term}) => term)) + 1;
		target.heldTerm = 0;
		this.#listener.promoted(this.name, target.log);
	}

	/** Replaces a replica's log by the primary's, dropping entries that the primary does not have. */
	#replicate(server: Server): void {
		const primary = this.servers.find(({role}) => role === 'primary');
		const isReplicationPaused = server.heldTerm > (primary?.term ?? 0);
		if (!primary || server === primary || server.isUnresponsive || server.isDeaf || primary.isUnresponsive || isReplicationPaused || server.term > primary.term) {
			return;
		}

		server.heldTerm = 0;
		server.log = [...primary.log];
		server.term = primary.term;
	}
}
