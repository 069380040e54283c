/**
One database group as its owner sees it: what is known of the servers, and the connections to them.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';
import * as observer from './observer.js';
import * as pool from './pool.js';
import * as position from './position.js';

/** Limits of a group, the same for each server. */
export type Options = {
	readonly name: string;
	readonly place: string;
	/** Connections for requests to each server. */
	readonly share: number;
	readonly timing: observer.Timing;
};

const idleLimitMs = 10_000;
/** Short enough that a connection is checked after every pause in which its state may have been lost on the way. */
const trustMs = 1000;
/** Several times what opening a connection takes at today's sites (12 and 30 ms). */
const hedgeAfterMs = 100;
const resetTimeoutMs = 1000;
const primaryPollMs = 20;
/** Longest wait in ms for one server's connection before it is asked again which server is primary. */
const primaryWaitMs = 500;

/** The observers and pools of a group. */
export class Group {
	readonly name: string;
	readonly place: string;
	readonly clock: clock.Clock;
	readonly observed: observer.Group;
	readonly servers: ReadonlyMap<string, backend.Server>;
	readonly #pools: ReadonlyMap<string, pool.Pool<backend.Connection>>;
	readonly #left = new Set<string>();
	#share: number;
	#primary: string | undefined;

	constructor(options: Options, servers: readonly backend.Server[], time: clock.Clock) {
		this.name = options.name;
		this.place = options.place;
		this.clock = time;
		this.#share = options.share;
		this.observed = new observer.Group(servers, time, options.timing, () => {
			this.#notice();
		});
		this.servers = new Map(servers.map(server => [server.name, server]));
		this.#pools = new Map(servers.map(server => [server.name, new pool.Pool(server, time, {
			connections: options.share,
			connectTimeoutMs: options.timing.probeTimeoutMs,
			hedgeAfterMs,
			trustMs,
			idleLimitMs,
			resetTimeoutMs,
		})]));
	}

	/** Connections for requests to each server. */
	get share(): number {
		return this.#share;
	}

	/** Observes the servers until `signal` aborts, then closes the connections as they fall idle. */
	async run(signal: AbortSignal): Promise<void> {
		await this.observed.run(signal);
		for (const connections of this.#pools.values()) {
			connections.close();
		}
	}

	/** The pool of a server of this group. */
	pool(server: string): pool.Pool<backend.Connection> {
		const found = this.#pools.get(server);
		if (!found) {
			throw new Error(`group ${this.name} has no server ${server}`);
		}

		return found;
	}

	/** Requests at a server and waiting for it. */
	load(server: string): number {
		const {busy, waiting} = this.pool(server);
		return busy + waiting;
	}

	/** Changes the owner's share of each server's connections. */
	resize(share: number): void {
		this.#share = share;
		for (const connections of this.#pools.values()) {
			connections.resize(share);
		}
	}

	/** Opens no connections beyond those that are open now. */
	hold(): void {
		for (const connections of this.#pools.values()) {
			connections.resize(connections.open);
		}
	}

	/** Connections to a server that are open or being opened, without the control connection. */
	open(server: string): number {
		return this.pool(server).open;
	}

	/** Marks servers that the configuration or the host list calls leaving; they get no new work. */
	markLeaving(names: readonly string[]): void {
		this.#left.clear();
		for (const name of names) {
			this.#left.add(name);
		}
	}

	/** Whether a server is leaving by any source. */
	isLeaving(server: string): boolean {
		return this.#left.has(server) || (this.observed.servers.get(server)?.latest?.status.leaving ?? false);
	}

	/**
	Checks that a server which was confirmed as primary after a request arrived holds the request's position. A position
	that it has not reached was never acknowledged.

	Errors: `position-lost`.
	*/
	checkPosition(server: string, wanted: position.Position | null): errors.Outcome<void> {
		const status = this.observed.servers.get(server)?.latest?.status;
		return wanted && status && position.relate(status, wanted) !== 'contains'
			? errors.fail('position-lost', 'route', this.name, `position ${position.format(wanted)} is not in the log of the primary; it was lost in a failover`)
			: Either.right(undefined);
	}

	/**
	A connection to the server that was last seen to be primary; waits for one to appear.

	Errors: `not-run`, when there is none before `deadline`, a time of the clock.
	*/
	async acquirePrimary(deadline: number): Promise<errors.Outcome<backend.Connection>> {
		let outcome: errors.Outcome<backend.Connection> = errors.fail('not-run', 'route', this.name, 'no primary is known');
		while (this.clock.now() < deadline) {
			const primary = this.observed.primary?.status.server;
			if (primary !== undefined) {
				// The primary may be replaced during the wait, so the wait at one server is limited.
				outcome = await this.pool(primary).acquire(Math.min(primaryWaitMs, deadline - this.clock.now()));
				if (Either.isRight(outcome)) {
					return outcome;
				}
			}

			await this.clock.sleep(primaryPollMs);
		}

		return outcome;
	}

	/** Gives back a connection of this group. */
	async release(connection: backend.Connection, residue: pool.Residue): Promise<void> {
		await this.pool(connection.server).release(connection, residue);
	}

	/**
	Interrupts requests at a primary that has been replaced. It may be frozen, and they would wait until their deadline
	although another server could answer them.
	*/
	#notice(): void {
		const primary = this.observed.primary?.status.server;
		const replaced = this.#primary;
		if (primary !== undefined && primary !== replaced) {
			this.#primary = primary;
			this.#pools.get(replaced ?? '')?.interrupt();
		}
	}
}
