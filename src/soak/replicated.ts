/**
A database group in memory: three logs with terms, where a commit is acknowledged once a replica has received it.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as position from '../core/position.js';

/** One commit: the texts of its writes, by the ids of the requests that made them. */
export type Entry = {readonly term: number; readonly writes: ReadonlyArray<{readonly id: string; readonly text: string}>};

/** Told of what a promotion did to the logs. */
export type Watcher = {promoted(group: string, kept: readonly Entry[]): void};

/** Usual lag in ms of a replica. A commit waits for the faster one of two. */
export const usualLagMs = 60;

/** One replica of the log. */
export class Server {
	readonly id: string;
	readonly place: string;
	readonly startedAt = Date.now();
	role: types.Role;
	term = 1;
	heldTerm = 0;
	log: Entry[] = [];
	/** Neither answers nor receives. */
	isDark = false;
	/** Time in ms that it takes to receive a commit. */
	lagMs = usualLagMs;
	/** Part of the answers to statements that are lost. */
	lostShare = 0;

	constructor(id: string, place: string, role: types.Role) {
		this.id = id;
		this.place = place;
		this.role = role;
	}

	get end(): position.Position {
		return {term: this.term, index: this.log.length};
	}
}

/** Time in ms that a promotion takes, and between two looks of a replica that is behind. */
const promoteMs = 300;
const fetchMs = 20;
/** Time in ms after which a commit that no replica has received is given up. */
const commitLimitMs = 4000;

/** A group. Its first server leads at first. */
export class Group {
	readonly name: string;
	readonly servers: readonly Server[];
	readonly #clock: clock.Clock;
	readonly #watcher: Watcher;

	constructor(name: string, places: readonly string[], time: clock.Clock, watcher: Watcher) {
		this.name = name;
		this.#clock = time;
		this.#watcher = watcher;
		this.servers = places.map((place, index) => new Server(`${name}-${index}`, place, index === 0 ? 'primary' : 'replica'));
	}

	/** Runs the replication of every server until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.servers.map(async server => {
			while (!signal.aborted) {
				await this.#clock.sleep(Math.max(fetchMs, server.lagMs), signal);
				this.#receive(server);
			}
		}));
	}

	/** Appends to a leader's log. False when no replica received it, or the server lost the lead before. */
	async commit(server: Server, writes: Entry['writes']): Promise<boolean> {
		const {term} = server;
		server.log.push({term, writes});
		const index = server.log.length;
		const end = this.#clock.now() + commitLimitMs;
		while (this.#clock.now() < end && server.role === 'primary' && server.term === term) {
			if (this.servers.some(other => other !== server && other.term === term && other.log.length >= index)) {
				return true;
			}

			await this.#clock.sleep(1);
		}

		return false;
	}

	/** Makes a running server lead the next term with what it has received. The order is accepted at once. */
	promote(id: string): boolean {
		const target = this.servers.find(server => server.id === id);
		if (!target || target.isDark) {
			return false;
		}

		void this.#promote(target);
		return true;
	}

	async #promote(target: Server): Promise<void> {
		await this.#clock.sleep(promoteMs);
		if (target.role === 'primary' || target.isDark) {
			return;
		}

		for (const server of this.servers) {
			server.role = server === target ? 'primary' : 'replica';
		}

		target.term = Math.max(...this.servers.map(({term}) => term)) + 1;
		target.heldTerm = 0;
		this.#watcher.promoted(this.name, target.log);
	}

	/** A replica takes over the leader's log, and drops what the leader does not have. */
	#receive(server: Server): void {
		const leader = this.servers.find(({role}) => role === 'primary');
		const isStopped = server.heldTerm > (leader?.term ?? 0);
		if (!leader || server === leader || server.isDark || leader.isDark || isStopped || server.term > leader.term) {
			return;
		}

		server.heldTerm = 0;
		server.log = [...leader.log];
		server.term = leader.term;
	}
}
