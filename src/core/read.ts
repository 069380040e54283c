/**
Reads outside transactions. A read goes to a replica whose data is known to be fresh enough, else to the confirmed
primary.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import * as latency from './latency.js';
import * as position from './position.js';
import type * as retry from './retry.js';
import * as routing from './routing.js';

/** Timeout in ms of an attempt at one server. It leaves time to try another if a connection does not respond. */
const attemptTimeoutMs = 1000;
const retryDelayMs = 10;
/** A read is hedged when it takes longer than this percentile of its class's recent reads. */
const hedgePercentile = 95;
/** Delay of a hedge while too few latencies of the class are known, and the bounds of the delay. */
const defaultHedgeDelayMs = 250;
const minHedgeDelayMs = 5;
const maxHedgeDelayMs = 500;
/**
Longest wait for a replica that is slightly behind, and the maximum age of the data of such a replica. A replica that
lags more would not catch up within the wait, and the read would go to the primary late.
*/
const maxReplicaWaitMs = 100;

/** Number of reads served by replicas and by the primary, of answers that were too old, and of hedged attempts. */
export type Counts = {replica: number; primary: number; stale: number; hedged: number};

/** State of one read. `deadline` is a time of the group's clock. */
type Job = {
	readonly request: types.Request;
	readonly deadline: number;
	readonly attempts: retry.Attempts;
	/** Whether an answer was too old. The read is then repeated once at a read index, without retry budget. */
	hasStaleAnswer: boolean;
};

type Result = {readonly server: string; readonly outcome: errors.Outcome<types.Answer>};

/** Executes the reads of one group. */
export class Reader {
	readonly counts: Counts = {
		replica: 0, primary: 0, stale: 0, hedged: 0,
	};

	readonly #group: group.Group;
	readonly #policy: routing.Policy;
	readonly #retries: retry.Budget;
	readonly #latency: latency.Latency;

	constructor(backendGroup: group.Group, policy: routing.Policy, retries: retry.Budget) {
		this.#group = backendGroup;
		this.#policy = policy;
		this.#retries = retries;
		this.#latency = new latency.Latency(backendGroup.clock);
	}

	/**
	Executes a read.

	Errors: `position-lost`, `not-run`, `database`. A lost response is `not-run` as well, since a read changes nothing.
	*/
	async execute(request: types.Request, freshness: types.Freshness): Promise<errors.Outcome<types.Answer>> {
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const job = {
			request, deadline, attempts: this.#retries.startRequest(), hasStaleAnswer: false,
		};
		let outcome: errors.Outcome<types.Answer> = errors.fail('not-run', 'route', this.#group.name, 'the deadline passed before the first attempt');
		while (this.#remainingMs(deadline) > 0) {
			outcome = await this.#attempt(job, freshness);
			if (isFinal(outcome)) {
				break;
			}

			await this.#group.clock.sleep(retryDelayMs);
		}

		if (Either.isRight(outcome)) {
			const isPrimary = this.#group.observer.primary?.status.server === outcome.right.server;
			this.counts[isPrimary ? 'primary' : 'replica']++;
		}

		return Either.mapLeft((failure: errors.Failure): errors.Failure => failure.kind === 'outcome-unknown'
			? {...failure, kind: 'not-run'}
			: failure)(outcome);
	}

	async #attempt(job: Job, freshness: types.Freshness): Promise<errors.Outcome<types.Answer>> {
		const {position: minPosition, maximumAgeMs} = job.request;
		let outcome: errors.Outcome<types.Answer> | undefined;
		if (maximumAgeMs > 0) {
			outcome = await this.#readWithinAge(job);
		} else if (minPosition && freshness === 'session') {
			const need = {position: minPosition, maximumAgeMs: undefined};
			outcome = await this.#race(this.#replicas(need), need, job);
		}

		return outcome && isFinal(outcome) ? outcome : this.#readAtReadIndex(job);
	}

	/** Reads from a server whose log contains a read index requested after this call. */
	async #readAtReadIndex(job: Job): Promise<errors.Outcome<types.Answer>> {
		const {request, deadline} = job;
		const readIndex = await this.#group.observer.readIndex(Math.max(1, Math.min(attemptTimeoutMs, this.#remainingMs(deadline))));
		if (Either.isLeft(readIndex)) {
			return readIndex;
		}

		const checked = this.#group.checkPosition(readIndex.right.server, request.position);
		if (Either.isLeft(checked)) {
			return checked;
		}

		// Requesting the read index updated the observations, so a replica whose data was too old before may now qualify.
		const withinAge = request.maximumAgeMs > 0 && !job.hasStaleAnswer ? await this.#readWithinAge(job) : undefined;
		if (withinAge && isFinal(withinAge)) {
			return withinAge;
		}

		const need = {position: position.latest(request.position, readIndex.right.position), maximumAgeMs: undefined};
		const replicas = this.#replicas(need);
		const awaited = replicas.length === 0 ? await this.#awaitReplica(need, job) : [];
		const outcome = await this.#race([...replicas, ...awaited, readIndex.right.server], need, job);
		return outcome ?? errors.fail('not-run', 'receive', this.#group.name, 'no server answered in time');
	}

	/** Reads from a replica within the request's maximum age; `undefined` if no replica is known to be fresh enough. */
	async #readWithinAge(job: Job): Promise<errors.Outcome<types.Answer> | undefined> {
		const {position: minPosition, maximumAgeMs} = job.request;
		const {observer} = this.#group;
		if ([...observer.servers.keys()].some(server => observer.ageMs(server) > maximumAgeMs / 2)) {
			observer.refresh(maximumAgeMs);
		}

		const need = {position: minPosition, maximumAgeMs};
		return this.#race(this.#replicas(need), need, job);
	}

	/** Waits for a replica that is slightly behind to reach the position; empty if there is none or it takes too long. */
	async #awaitReplica(need: routing.Need, {deadline}: Job): Promise<string[]> {
		const server = this.#policy.replicaToAwait(this.#candidates(need), this.#group.place, maxReplicaWaitMs);
		if (server === undefined || !need.position) {
			return [];
		}

		const waitMs = Math.min(maxReplicaWaitMs, this.#remainingMs(deadline) / 2);
		const observation = await this.#group.observer.servers.get(server)?.awaitPosition(need.position, waitMs);
		return observation && position.relate(observation.status, need.position) === 'contains' ? [server] : [];
	}

	#replicas(need: routing.Need): readonly string[] {
		return this.#policy.replicas(this.#candidates(need), need, this.#group.place);
	}

	#candidates(need: routing.Need): routing.Candidate[] {
		return routing.listCandidates(this.#group.observer, need, server => this.#group.load(server))
			.map(candidate => ({...candidate, isLeaving: this.#group.isLeaving(candidate.name)}));
	}

	/**
	Sends a read to the first server, and to the next one if the first fails or does not answer within the hedge delay.
	The first complete answer wins; late responses are read to their end before their connections are reused. Returns the
	last failure if no server answers, and `undefined` if `servers` is empty.
	*/
	async #race(servers: readonly string[], need: routing.Need, job: Job): Promise<errors.Outcome<types.Answer> | undefined> {
		const decided = new AbortController();
		const running = new Map<string, Promise<Result>>();
		let outcome: errors.Outcome<types.Answer> | undefined;
		for (const server of servers) {
			if (job.hasStaleAnswer && need.maximumAgeMs !== undefined) {
				break;
			}

			if (!job.attempts.next()) {
				outcome = errors.fail('not-run', 'admit', this.#group.name, 'a server did not answer and the retry budget is exhausted');
				break;
			}

			this.counts.hedged += running.size > 0 ? 1 : 0;
			running.set(server, this.#query(server, need, job, decided.signal));
			outcome = await this.#firstAnswer(running, this.#hedgeDelayMs(job.request.class)) ?? outcome;
			if (outcome && isFinal(outcome)) {
				break;
			}
		}

		const isAnswered = outcome !== undefined && isFinal(outcome) && !isDenied(outcome);
		const lastOutcome = isAnswered ? undefined : await this.#firstAnswer(running, this.#remainingMs(job.deadline));
		// Without a reason, `abort` constructs a `DOMException`, which took 10% of the time of a read.
		decided.abort('decided');
		return lastOutcome ?? outcome;
	}

	/** Returns the first final outcome, the last failure once all attempts have failed, or `undefined` at the timeout. */
	async #firstAnswer(running: Map<string, Promise<Result>>, timeoutMs: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const deadline = this.#group.clock.now() + timeoutMs;
		let lastFailure: errors.Outcome<types.Answer> | undefined;
		while (running.size > 0) {
			const result = await this.#group.clock.limit(Promise.race(running.values()), this.#remainingMs(deadline));
			if (!result) {
				return undefined;
			}

			running.delete(result.server);
			if (isFinal(result.outcome)) {
				return result.outcome;
			}

			lastFailure = result.outcome;
		}

		return lastFailure;
	}

	/** Queries one server and rejects an answer that is older than the read accepts. */
	async #query(server: string, need: routing.Need, job: Job, decided: AbortSignal): Promise<Result> {
		const ageAtSendMs = this.#group.observer.ageMs(server);
		const sentAt = this.#group.clock.now();
		const outcome = await this.#send(server, job, decided);
		const ageMs = ageAtSendMs + this.#group.clock.now() - sentAt;
		if (need.maximumAgeMs === undefined || ageMs <= need.maximumAgeMs || Either.isLeft(outcome)) {
			return {server, outcome};
		}

		this.counts.stale++;
		if (!job.hasStaleAnswer) {
			job.hasStaleAnswer = true;
			job.attempts.grantFree();
		}

		return {server, outcome: errors.fail('not-run', 'receive', server, 'the answer was older than the read accepts')};
	}

	async #send(server: string, {request, deadline}: Job, decided: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		const startedAt = this.#group.clock.now();
		const attemptDeadline = Math.min(startedAt + attemptTimeoutMs, deadline);
		const acquired = await this.#group.pool(server).acquire(this.#remainingMs(attemptDeadline), {signal: decided});
		if (Either.isLeft(acquired)) {
			return acquired;
		}

		const connection = acquired.right;
		const outcome = decided.aborted
			? errors.fail('not-run', 'send', server, 'another server has answered')
			: await connection.execute(request.sql, Math.max(1, this.#remainingMs(attemptDeadline)));
		await this.#group.release(connection, 'clean');
		if (Either.isRight(outcome)) {
			this.#latency.record(request.class, this.#group.clock.now() - startedAt);
		}

		return outcome;
	}

	#hedgeDelayMs(className: string): number {
		const percentileMs = this.#latency.percentile(className, hedgePercentile) ?? defaultHedgeDelayMs;
		return Math.min(maxHedgeDelayMs, Math.max(minHedgeDelayMs, percentileMs));
	}

	#remainingMs(deadline: number): number {
		return Math.max(0, deadline - this.#group.clock.now());
	}
}

/** Whether an outcome ends the read: an answer, a database error, or a failure that another server would not change. */
function isFinal(outcome: errors.Outcome<types.Answer>): boolean {
	return Either.isRight(outcome) || outcome.left.kind === 'database' || outcome.left.kind === 'position-lost' || isDenied(outcome);
}

/** Whether the retry budget denied an attempt. */
function isDenied(outcome: errors.Outcome<types.Answer>): boolean {
	return Either.isLeft(outcome) && outcome.left.step === 'admit';
}
