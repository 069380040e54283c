/**
An in-memory database group with synchronous replication: one log with terms for each server; a commit is acknowledged
once one replica has received it.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as position from '../core/position.js';

/** A committed transaction: the ids and texts of its write requests. */
export type Entry = {readonly term: number; readonly writes: ReadonlyArray<{readonly id: string; readonly text: string}>};

/** A promotion that took effect, with the group's servers at that moment. */
export type Promotion = {readonly group: string; readonly target: Server; readonly former: Server | undefined; readonly servers: readonly Server[]; readonly order: string};

/** Receives each promotion. */
export type PromotionListener = {promoted(promotion: Promotion): void};

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
	/** Time after a promotion until the server receives from the new primary. */
	reconnectMs = 0;
	/** Clock time until which the server is not connected to the new primary. */
	reconnectsUntil = 0;
	/** The server has reported that it will leave. */
	isDraining = false;
	/** Clock time until which the server is busy, since it removes what the new primary does not have. */
	rollsBackUntil = 0;

	constructor(id: string, place: string, role: types.Role) {
		this.id = id;
		this.place = place;
		this.role = role;
	}

	get end(): position.Position {
		return {term: this.term, index: this.log.length};
	}
}

/** Default time from the order of a promotion until it takes effect. */
export const defaultPromotionMs = 300;
export const rollbackMs = 300;
const minFetchIntervalMs = 20;
/** Time after which a commit that no replica has received fails. */
const commitTimeoutMs = 4000;

/** A group whose first server starts as primary. */
export class Group {
	readonly name: string;
	/** Time from the order of a promotion until it takes effect. */
	promotionMs = defaultPromotionMs;
	readonly #servers: Server[];
	readonly #clock: clock.Clock;
	readonly #listener: PromotionListener;
	#orderCount = 0;
	/** Number of the last order that took effect. */
	#effectiveOrder = 0;
	#serverCount: number;
	/** The primary that has stepped down, and the servers that its last commits are on their way to. */
	#steppedDown: {readonly server: Server; readonly recipients: Set<Server>} | undefined;

	constructor(name: string, places: readonly string[], time: clock.Clock, listener: PromotionListener) {
		this.name = name;
		this.#clock = time;
		this.#listener = listener;
		this.#servers = places.map((place, index) => new Server(`${name}-${index}`, place, index === 0 ? 'primary' : 'replica'));
		this.#serverCount = places.length;
	}

	get servers(): readonly Server[] {
		return this.#servers;
	}

	get primary(): Server | undefined {
		return this.#servers.find(({role}) => role === 'primary');
	}

	/** Number of accepted orders of a promotion. */
	get orderCount(): number {
		return this.#orderCount;
	}

	/** Replicates to all servers until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.#servers.map(async (_, index) => {
			while (!signal.aborted) {
				await this.#clock.sleep(Math.max(minFetchIntervalMs, this.#servers[index].lagMs), signal);
				this.#replicate(this.#servers[index]);
			}
		}));
	}

	/** Makes a primary a replica. Its last commits still reach each replica that receives at its next fetch. */
	stepDown(server: Server): void {
		server.role = 'replica';
		this.#steppedDown = {server, recipients: new Set(this.#servers.filter(other => other !== server))};
	}

	/** Replaces a server that has left by a new one with its log and another id, which starts as a replica. */
	replace(server: Server): Server {
		const added = new Server(`${this.name}-${this.#serverCount}`, server.place, 'replica');
		this.#serverCount++;
		added.log = [...server.log];
		added.term = server.term;
		this.#servers[this.#servers.indexOf(server)] = added;
		server.role = 'replica';
		return added;
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

	/** Starts the promotion of a running server, with the log it has received, and returns without waiting for it. `order` describes who ordered it. */
	promote(id: string, order = ''): boolean {
		const target = this.servers.find(server => server.id === id);
		if (!target || target.isUnresponsive) {
			return false;
		}

		this.#orderCount++;
		void this.#promote(target, this.#orderCount, order);
		return true;
	}

	/** Has no effect after that of a later order. */
	async #promote(target: Server, number: number, order: string): Promise<void> {
		await this.#clock.sleep(this.promotionMs);
		if (number < this.#effectiveOrder || target.role === 'primary' || target.isUnresponsive || !this.#servers.includes(target)) {
			return;
		}

		const former = this.primary ?? this.#steppedDown?.server;
		this.#steppedDown = undefined;
		this.#effectiveOrder = number;
		for (const server of this.servers) {
			server.role = server === target ? 'primary' : 'replica';
			server.reconnectsUntil = this.#clock.now() + server.reconnectMs;
		}

		target.term = Math.max(...this.servers.map(({term}) => term)) + 1;
		target.heldTerm = 0;
		this.#listener.promoted({
			group: this.name, target, former, servers: this.#servers, order,
		});
	}

	/** Replaces a replica's log by the primary's, dropping entries that the primary does not have. */
	#replicate(server: Server): void {
		const primary = this.primary ?? (this.#steppedDown?.recipients.delete(server) ? this.#steppedDown.server : undefined);
		const isReplicationPaused = server.heldTerm > (primary?.term ?? 0);
		const isCut = server.isUnresponsive || server.isDeaf || this.#clock.now() < server.reconnectsUntil;
		if (!primary || server === primary || isCut || primary.isUnresponsive || isReplicationPaused || server.term > primary.term) {
			return;
		}

		server.heldTerm = 0;
		const last = server.log.at(-1);
		if (last && primary.log[server.log.length - 1] !== last) {
			server.rollsBackUntil = this.#clock.now() + rollbackMs;
		}

		server.log = [...primary.log];
		server.term = primary.term;
	}
}
