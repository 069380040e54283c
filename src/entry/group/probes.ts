/**
Probes of the servers of one service: plain BEGINs, which succeed only on the leader and show the end of a server's log.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import type * as errors from '../../core/errors.js';
import type * as member from '../member.js';
import type * as statement from '../statement.js';
import type * as indexes from './indexes.js';

export type Options = {
	readonly clock: clock.Clock;
	readonly readIndexes: indexes.ReadIndexes;
	readonly servers: () => Iterable<member.Member>;
	readonly leader: () => member.Member | undefined;
	/** Receives the outcome of a BEGIN sent at `sentAt`. */
	readonly record: (server: member.Member, sentAt: clock.Mark, outcome: errors.Outcome<statement.Reply>) => void;
};

/** Age at which the read index is refreshed, so that bounded-staleness reads find a recent one without a round trip. */
const readIndexRefreshMs = 250;
/** Timeout of a request that takes no execution slot on the server. */
const probeTimeoutMs = 300;
/** Time after the last response for which refused connections show that a server responds; a proxy may reset all of them. */
const maxRefusalMs = 3000;
/** Time without a response after which a probe may use a connection above the limit of the pool. */
const controlAfterMs = 300;
const replicaPollIntervalMs = 1000;
/** Age of a read index that replicas with typical lag have reached. */
const typicalLagMs = 500;
/** Interval of polling all servers while no leader responds. */
const leaderPollIntervalMs = 100;

/** Sends probes, at most one at a time to each server. */
export class Probes {
	readonly #options: Options;
	/** Ids of servers with a probe in flight. */
	readonly #inFlight = new Set<string>();
	#polledAt = Number.NEGATIVE_INFINITY;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Makes all servers due at the next poll. */
	expedite(): void {
		this.#polledAt = Number.NEGATIVE_INFINITY;
	}

	/** Sends the probes that are due: the leader keeps the read index recent, and replicas are compared with it. */
	poll(): void {
		const {clock: time, readIndexes} = this.#options;
		const leader = this.#options.leader();
		if (leader) {
			const {latest} = readIndexes;
			if (!latest || clock.between(latest.requestedAt, time.mark()) > readIndexRefreshMs) {
				this.probe(leader);
			}

			if (leader.failingSince === undefined) {
				this.#pollReplicas(leader);
				return;
			}
		}

		// While no leader responds, all servers are polled: another host may have promoted one of them.
		if (time.now() - this.#polledAt >= leaderPollIntervalMs) {
			this.#polledAt = time.now();
			for (const server of this.#options.servers()) {
				this.probe(server);
			}
		}
	}

	/** Checks whether a server is the leader, unless such a probe is already in flight. */
	probe(server: member.Member): void {
		if (!this.#inFlight.has(server.id)) {
			this.#inFlight.add(server.id);
			void this.#probe(server);
		}
	}

	/** Checks at once whether a server responds, also while statements hold all connections to it. */
	async verifyResponse(server: member.Member): Promise<void> {
		await this.#sendBegin(server, true);
	}

	async #probe(server: member.Member): Promise<void> {
		try {
			await this.#sendBegin(server);
		} finally {
			this.#inFlight.delete(server.id);
		}
	}

	async #sendBegin(server: member.Member, isUrgent = false): Promise<void> {
		const startedAt = this.#options.clock.now();
		// Statements that wait may hold all connections for longer than a failure takes to be noticed.
		const isControl = isUrgent || startedAt - server.lastResponseAt > controlAfterMs;
		const acquired = await server.pool.acquire(probeTimeoutMs, {isInternal: true, isControl});
		if (Either.isLeft(acquired)) {
			// A shortage of connections is no failure: statements use them, or the server has refused one at its limit.
			const isRefused = server.pool.wasRefused && startedAt - server.lastResponseAt < maxRefusalMs;
			if ((server.pool.busy === 0 || isControl) && !isRefused) {
				server.recordFailure(startedAt);
			}

			return;
		}

		const connection = acquired.right;
		const sentAt = this.#options.clock.mark();
		const [outcome] = await Promise.all([
			connection.send({kind: 'begin'}, probeTimeoutMs),
			connection.send({kind: 'rollback'}, probeTimeoutMs),
		]);
		await server.pool.release(connection, 'clean');
		this.#options.record(server, sentAt, outcome);
	}

	/** Polls the replicas for the ends of their logs and compares all logs with an earlier end of the leader's log. */
	#pollReplicas(leader: member.Member): void {
		const now = this.#options.clock.now();
		if (now - this.#polledAt < replicaPollIntervalMs) {
			return;
		}

		this.#polledAt = now;
		const replicated = this.#options.readIndexes.before(now - typicalLagMs);
		for (const server of this.#options.servers()) {
			if (replicated) {
				server.compareLog(replicated.position);
			}

			if (server !== leader) {
				this.probe(server);
			}
		}
	}
}
