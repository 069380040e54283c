/**
Reads outside transactions: at a replica where its data is known to be fresh enough, else at the confirmed primary.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import * as position from './position.js';
import * as routing from './routing.js';

/** Time in ms for one attempt at one server, so that a silent connection leaves time for another. */
const attemptTimeoutMs = 1000;
const retryPauseMs = 10;
/**
Longest time in ms to wait for a replica that is slightly behind. Also the greatest age at which one counts as slightly
behind: with more lag, reads would wait in vain and then go to the primary.
*/
const replicaWaitMs = 100;

/** Counts where reads were served. */
export type Counts = {replica: number; primary: number; stale: number};

/** Executes reads of one group. */
export class Reader {
	readonly counts: Counts = {replica: 0, primary: 0, stale: 0};
	readonly #group: group.Group;
	readonly #policy: routing.Policy;

	constructor(servers: group.Group, policy: routing.Policy) {
		this.#group = servers;
		this.#policy = policy;
	}

	/**
	Executes a read.

	Errors: `position-lost`, `not-run`, `database`; a read changes nothing, so a lost answer is `not-run` as well.
	*/
	async execute(request: types.Request, freshness: types.Freshness): Promise<errors.Outcome<types.Answer>> {
		const started = this.#group.clock.now();
		const deadline = started + request.deadlineMs;
		let outcome: errors.Outcome<types.Answer> = errors.fail('not-run', 'route', this.#group.name, 'the deadline passed');
		while (this.#group.clock.now() < deadline) {
			outcome = await this.#attempt(request, freshness, deadline);
			if (Either.isRight(outcome) || outcome.left.kind === 'database' || outcome.left.kind === 'position-lost') {
				return outcome;
			}

			await this.#group.clock.sleep(retryPauseMs);
		}

		return Either.mapLeft((failure: errors.Failure): errors.Failure => ({...failure, kind: 'not-run'}))(outcome);
	}

	async #attempt(request: types.Request, freshness: types.Freshness, deadline: number): Promise<errors.Outcome<types.Answer>> {
		if (request.maximumAgeMs > 0) {
			const aged = await this.#atAge(request, deadline);
			if (aged) {
				return aged;
			}
		} else if (request.position && freshness === 'session') {
			const seen = await this.#atReplica(request, {position: request.position, maximumAgeMs: undefined}, deadline);
			if (seen) {
				return seen;
			}
		}

		return this.#atReadPoint(request, deadline);
	}

	/** A read at a replica or the primary, whichever contains a position confirmed from now on. */
	async #atReadPoint(request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer>> {
		const point = await this.#group.observed.readPoint(Math.min(attemptTimeoutMs, deadline - this.#group.clock.now()));
		if (Either.isLeft(point)) {
			return point;
		}

		const primary = this.#group.observed.servers.get(point.right.server)?.latest;
		// The primary answered after the request arrived, so a position that it has not reached was never acknowledged.
		if (request.position && primary && position.relate(primary.status, request.position) !== 'contains') {
			return errors.fail('position-lost', 'route', this.#group.name, `position ${position.format(request.position)} is not in the log of the primary; it was lost in a failover`);
		}

		// The servers have just been asked, so that one which was too old by its last observation may be young enough now.
		const aged = request.maximumAgeMs > 0 ? await this.#atAge(request, deadline) : undefined;
		if (aged) {
			return aged;
		}

		const need = {position: position.latest(request.position, point.right.position), maximumAgeMs: undefined};
		return await this.#atReplica(request, need, deadline)
			?? await this.#atAwaited(request, need, deadline)
			?? this.#at(point.right.server, request, deadline);
	}

	/** A read of a stated age. */
	async #atAge(request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const {position: wanted, maximumAgeMs} = request;
		if ([...this.#group.observed.servers.keys()].some(server => this.#group.observed.age(server) > maximumAgeMs / 2)) {
			this.#group.observed.refresh(maximumAgeMs);
		}

		return this.#atReplica(request, {position: wanted, maximumAgeMs}, deadline);
	}

	/** A read at a replica that is slightly behind, once it holds the position; `undefined` if it does not soon. */
	async #atAwaited(request: types.Request, need: routing.Need, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const server = this.#policy.awaited(this.#survey(need), this.#group.place, replicaWaitMs);
		const waitMs = Math.min(replicaWaitMs, (deadline - this.#group.clock.now()) / 2);
		if (server === undefined || !need.position) {
			return undefined;
		}

		const observation = await this.#group.observed.servers.get(server)?.reach(need.position, waitMs);
		return observation && position.relate(observation.status, need.position) === 'contains'
			? this.#at(server, request, deadline)
			: undefined;
	}

	#survey(need: routing.Need): routing.Candidate[] {
		return routing.survey(this.#group.observed, need, server => this.#group.load(server))
			.map(candidate => ({...candidate, isLeaving: this.#group.isLeaving(candidate.name)}));
	}

	/** A read at the first qualified replica that answers; `undefined` if there is none or its answer came too late. */
	async #atReplica(request: types.Request, need: routing.Need, deadline: number): Promise<errors.Outcome<types.Answer> | undefined> {
		for (const server of this.#policy.replicas(this.#survey(need), need, this.#group.place)) {
			const known = this.#group.observed.age(server);
			const sentAt = this.#group.clock.now();
			const outcome = await this.#at(server, request, deadline);
			const ageMs = known + this.#group.clock.now() - sentAt;
			if (need.maximumAgeMs !== undefined && ageMs > need.maximumAgeMs) {
				this.counts.stale++;
				return undefined;
			}

			if (Either.isRight(outcome) || outcome.left.kind === 'database') {
				return outcome;
			}
		}

		return undefined;
	}

	async #at(server: string, request: types.Request, deadline: number): Promise<errors.Outcome<types.Answer>> {
		const timeoutMs = Math.min(attemptTimeoutMs, deadline - this.#group.clock.now());
		const acquired = await this.#group.pool(server).acquire(timeoutMs);
		if (Either.isLeft(acquired)) {
			return acquired;
		}

		const outcome = await acquired.right.execute(request.sql, timeoutMs);
		await this.#group.release(acquired.right, 'clean');
		if (Either.isRight(outcome)) {
			const isPrimary = this.#group.observed.primary?.status.server === server;
			this.counts[isPrimary ? 'primary' : 'replica']++;
		}

		return outcome;
	}
}
