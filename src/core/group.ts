/**
A database group on one of its owners: observers of its servers and a connection pool for each server.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';
import * as observer from './observer.js';
import * as pool from './pool.js';
import * as position from './position.js';

/** Settings of a group, the same for each server. */
export type Options = {
	readonly name: string;
	readonly place: string;
	/** Maximum number of connections for requests to each server. */
	readonly quota: number;
	readonly timing: observer.Timing;
};

const idleLimitMs = 10_000;
/** A connection idle for longer is reset before use, because a network device may have dropped its state meanwhile. */
const validateAfterMs = 1000;
/** A second connection attempt starts after this time. Opening a connection takes 12 and 30 ms at the present sites. */
const hedgeAfterMs = 100;
const resetTimeoutMs = 1000;
const primaryPollMs = 20;
/** Maximum wait for a connection to one server before the current primary is looked up again. */
const maxPrimaryWaitMs = 500;

/** The observers and connection pools of a group. */
export class Group {
	readonly name: string;
	readonly place: string;
	readonly clock: clock.Clock;
	readonly observer: observer.Group;
	readonly servers: ReadonlyMap<string, backend.Server>;
	readonly #pools: ReadonlyMap<string, pool.Pool<backend.Connection>>;
	readonly #leaving = new Set<string>();
	#quota: number;
	#primary: string | undefined;

	constructor(options: Options, servers: readonly backend.Server[], time: clock.Clock) {
		this.name = options.name;
		this.place = options.place;
		this.clock = time;
		this.#quota = options.quota;
		this.observer = new observer.Group(servers, time, options.timing, () => {
			this.#interruptReplaced();
		});
		this.servers = new Map(servers.map(server => [server.name, server]));
		this.#pools = new Map(servers.map(server => [server.name, new pool.Pool(server, time, {
			connections: options.quota,
			connectTimeoutMs: options.timing.probeTimeoutMs,
			hedgeAfterMs,
			validateAfterMs,
			idleLimitMs,
			resetTimeoutMs,
		})]));
	}

	/** Maximum number of connections for requests to each server. */
	get quota(): number {
		return this.#quota;
	}

	/** Observes the servers until `signal` aborts, then closes each pooled connection once it is idle. */
	async run(signal: AbortSignal): Promise<void> {
		await this.observer.run(signal);
		for (const connections of this.#pools.values()) {
			connections.close();
		}
	}

	/** Returns the connection pool of a server. Throws if the group has no such server. */
	pool(server: string): pool.Pool<backend.Connection> {
		const found = this.#pools.get(server);
		if (!found) {
			throw new Error(`group ${this.name} has no server ${server}`);
		}

		return found;
	}

	/** Number of requests that use a connection to a server or wait for one. */
	load(server: string): number {
		const {busy, waiting} = this.pool(server);
		return busy + waiting;
	}

	/** Changes the connection quota of each server. */
	resize(quota: number): void {
		this.#quota = quota;
		for (const connections of this.#pools.values()) {
			connections.resize(quota);
		}
	}

	/** Limits each pool to the connections that are open now. */
	cap(): void {
		for (const connections of this.#pools.values()) {
			connections.resize(connections.open);
		}
	}

	/** Number of pooled connections to a server that are open or being opened; excludes the observer's connection. */
	openConnections(server: string): number {
		return this.pool(server).open;
	}

	/** Sets the servers that the configuration or the host list marks as leaving. They receive no new requests. */
	markLeaving(names: readonly string[]): void {
		this.#leaving.clear();
		for (const name of names) {
			this.#leaving.add(name);
		}
	}

	/** Whether the configuration, the host list or the server itself reports that the server is leaving. */
	isLeaving(server: string): boolean {
		return this.#leaving.has(server) || (this.observer.servers.get(server)?.latest?.status.leaving ?? false);
	}

	/**
	Checks that the log of a server contains the position that a request requires. The server must have been confirmed as
	primary after the request arrived; a position that its log does not contain has been lost or was never acknowledged.

	Errors: `position-lost`.
	*/
	checkPosition(server: string, minPosition: position.Position | null): errors.Outcome<void> {
		const status = this.observer.servers.get(server)?.latest?.status;
		return minPosition && status && position.relate(status, minPosition) !== 'contains'
			? errors.fail('position-lost', 'route', this.name, `position ${position.format(minPosition)} is not in the log of the primary; it was lost in a failover`)
			: Either.right(undefined);
	}

	/**
	Acquires a connection to the server last observed as primary, waiting until there is one.

	Errors: `not-run` if none is available before `deadline`, a time of the clock in ms.
	*/
	async acquirePrimary(deadline: number): Promise<errors.Outcome<backend.Connection>> {
		let outcome: errors.Outcome<backend.Connection> = errors.fail('not-run', 'route', this.name, 'no primary is known');
		while (this.clock.now() < deadline) {
			const primary = this.observer.primary?.status.server;
			if (primary !== undefined) {
				// The primary may be replaced during the wait, so the wait for one server is limited.
				outcome = await this.pool(primary).acquire(Math.min(maxPrimaryWaitMs, deadline - this.clock.now()));
				if (Either.isRight(outcome)) {
					return outcome;
				}
			}

			await this.clock.sleep(primaryPollMs);
		}

		return outcome;
	}

	/** Releases a connection to its pool. */
	async release(connection: backend.Connection, residue: pool.Residue): Promise<void> {
		await this.pool(connection.server).release(connection, residue);
	}

	/**
	Interrupts requests at a primary that has been replaced. The old primary may be frozen, so its requests would wait
	until their deadline although the new primary could serve them.
	*/
	#interruptReplaced(): void {
		const primary = this.observer.primary?.status.server;
		const replaced = this.#primary;
		if (primary !== undefined && primary !== replaced) {
			this.#primary = primary;
			this.#pools.get(replaced ?? '')?.interrupt();
		}
	}
}
