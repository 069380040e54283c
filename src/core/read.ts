/**
Reads outside transactions: at a replica where its data is known to be fresh enough, else at the confirmed primary.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';
import type * as group from './group.js';
import * as latency from './latency.js';
import * as position from './position.js';
import type * as retry from './retry.js';
import * as routing from './routing.js';

/** Time in ms for one attempt at one server, so that a silent connection leaves time for another. */
const attemptTimeoutMs = 1000;
const retryPauseMs = 10;
/** A read is hedged when it takes longer than this part of its class's recent reads, in percent. */
const hedgePercent = 95;
/** Delay in ms of a hedge while too few latencies are known, and its bounds. */
const hedgeDefaultMs = 250;
const hedgeLeastMs = 5;
const hedgeMostMs = 500;
/**
Longest time in ms to wait for a replica that is slightly behind. Also the greatest age at which one counts as slightly
behind: with more lag, reads would wait in vain and then go to the primary.
*/
const replicaWaitMs = 100;

/** Counts where reads were served, answers that were too old, and reads sent to a second server. */
export type Counts = {replica: number; primary: number; stale: number; hedged: number};

/** One read: what it needs and when it must end, a time of the clock. */
type Job = {
	readonly request: types.Request;
	readonly deadline: number;
	readonly attempts: retry.Attempts;
	/** Whether an answer was too old. The read then goes to the confirmed primary position, once and without budget. */
	isStale: boolean;
};

type Result = {readonly server: string; readonly outcome: errors.Outcome<types.Answer>};

/** Executes reads of one group. */
export class Reader {
	readonly counts: Counts = {
		replica: 0, primary: 0, stale: 0, hedged: 0,
	};

	readonly #group: group.Group;
	readonly #policy: routing.Policy;
	readonly #retries: retry.Budget;
	readonly #latency: latency.Latency;

	constructor(servers: group.Group, policy: routing.Policy, retries: retry.Budget) {
		this.#group = servers;
		this.#policy = policy;
		this.#retries = retries;
		this.#latency = new latency.Latency(servers.clock);
	}

	/**
	Executes a read.

	Errors: `position-lost`, `not-run`, `database`; a read changes nothing, so a lost answer is `not-run` as well.
	*/
	async execute(request: types.Request, freshness: types.Freshness): Promise<errors.Outcome<types.Answer>> {
		const deadline = this.#group.clock.now() + request.deadlineMs;
		const job = {
			request, deadline, attempts: this.#retries.open(), isStale: false,
		};
		let outcome: errors.Outcome<types.Answer> = errors.fail('not-run', 'route', this.#group.name, 'the deadline passed');
		while (this.#left(deadline) > 0) {
			outcome = await this.#attempt(job, freshness);
			if (isFinal(outcome)) {
				break;
			}

			await this.#group.clock.sleep(retryPauseMs);
		}

		if (Either.isRight(outcome)) {
			const isPrimary = this.#group.observed.primary?.status.server === outcome.right.server;
			this.counts[isPrimary ? 'primary' : 'replica']++;
		}

		return Either.mapLeft((failure: errors.Failure): errors.Failure => failure.kind === 'outcome-unknown'
			? {...failure, kind: 'not-run'}
			: failure)(outcome);
	}

	async #attempt(job: Job, freshness: types.Freshness): Promise<errors.Outcome<types.Answer>> {
		const {position: seen, maximumAgeMs} = job.request;
		let outcome: errors.Outcome<types.Answer> | undefined;
		if (maximumAgeMs > 0) {
			outcome = await this.#atAge(job);
		} else if (seen && freshness === 'session') {
			const need = {position: seen, maximumAgeMs: undefined};
			outcome = await this.#race(this.#replicas(need), need, job);
		}

		return outcome && isFinal(outcome) ? outcome : this.#atReadPoint(job);
	}

	/** A read at a replica or the primary, whichever contains a position confirmed from now on. */
	async #atReadPoint(job: Job): Promise<errors.Outcome<types.Answer>> {
		const {request, deadline} = job;
		const point = await this.#group.observed.readPoint(Math.max(1, Math.min(attemptTimeoutMs, this.#left(deadline))));
		if (Either.isLeft(point)) {
			return point;
		}

		const checked = this.#group.checkPosition(point.right.server, request.position);
		if (Either.isLeft(checked)) {
			return checked;
		}

		// The servers have just been asked, so that one which was too old by its last observation may be young enough now.
		const aged = request.maximumAgeMs > 0 && !job.isStale ? await this.#atAge(job) : undefined;
		if (aged && isFinal(aged)) {
			return aged;
		}

		const need = {position: position.latest(request.position, point.right.position), maximumAgeMs: undefined};
		const replicas = this.#replicas(need);
		const awaited = replicas.length === 0 ? await this.#awaitReplica(need, job) : [];
		const outcome = await this.#race([...replicas, ...awaited, point.right.server], need, job);
		return outcome ?? errors.fail('not-run', 'receive', this.#group.name, 'no server answered in time');
	}

	/** A read of a stated age; `undefined` if no replica is known to be young enough. */
	async #atAge(job: Job): Promise<errors.Outcome<types.Answer> | undefined> {
		const {position: wanted, maximumAgeMs} = job.request;
		const {observed} = this.#group;
		if ([...observed.servers.keys()].some(server => observed.age(server) > maximumAgeMs / 2)) {
			observed.refresh(maximumAgeMs);
		}

		const need = {position: wanted, maximumAgeMs};
		return this.#race(this.#replicas(need), need, job);
	}

	/** A replica that is slightly behind, once it holds the position; none if it does not soon. */
	async #awaitReplica(need: routing.Need, {deadline}: Job): Promise<string[]> {
		const server = this.#policy.awaited(this.#survey(need), this.#group.place, replicaWaitMs);
		if (server === undefined || !need.position) {
			return [];
		}

		const waitMs = Math.min(replicaWaitMs, this.#left(deadline) / 2);
		const observation = await this.#group.observed.servers.get(server)?.reach(need.position, waitMs);
		return observation && position.relate(observation.status, need.position) === 'contains' ? [server] : [];
	}

	#replicas(need: routing.Need): readonly string[] {
		return this.#policy.replicas(this.#survey(need), need, this.#group.place);
	}

	#survey(need: routing.Need): routing.Candidate[] {
		return routing.survey(this.#group.observed, need, server => this.#group.load(server))
			.map(candidate => ({...candidate, isLeaving: this.#group.isLeaving(candidate.name)}));
	}

	/**
	Sends a read to the first server, and to the next one when there is no answer after a delay or none at all. The first
	complete answer wins; the others are read to their end before their connections are used again. Gives the last
	failure if there is no answer, and `undefined` if there is no server.
	*/
	async #race(servers: readonly string[], need: routing.Need, job: Job): Promise<errors.Outcome<types.Answer> | undefined> {
		const decided = new AbortController();
		const running = new Map<string, Promise<Result>>();
		let outcome: errors.Outcome<types.Answer> | undefined;
		for (const server of servers) {
			if (job.isStale && need.maximumAgeMs !== undefined) {
				break;
			}

			if (!job.attempts.next()) {
				outcome = errors.fail('not-run', 'admit', this.#group.name, 'a server did not answer and the retry budget is spent');
				break;
			}

			this.counts.hedged += running.size > 0 ? 1 : 0;
			running.set(server, this.#answer(server, need, job, decided.signal));
			outcome = await this.#first(running, this.#hedgeDelay(job.request.class)) ?? outcome;
			if (outcome && isFinal(outcome)) {
				break;
			}
		}

		const isAnswered = outcome !== undefined && isFinal(outcome) && !isDenied(outcome);
		const last = isAnswered ? undefined : await this.#first(running, this.#left(job.deadline));
		// With a reason the platform makes no exception object, which took a tenth of the time of a read.
		decided.abort('decided');
		return last ?? outcome;
	}

	/** The first complete answer within `ms`; once all have failed, the last failure. */
	async #first(running: Map<string, Promise<Result>>, ms: number): Promise<errors.Outcome<types.Answer> | undefined> {
		const end = this.#group.clock.now() + ms;
		let failed: errors.Outcome<types.Answer> | undefined;
		while (running.size > 0) {
			const result = await this.#group.clock.limit(Promise.race(running.values()), this.#left(end));
			if (!result) {
				return undefined;
			}

			running.delete(result.server);
			if (isFinal(result.outcome)) {
				return result.outcome;
			}

			failed = result.outcome;
		}

		return failed;
	}

	/** The answer of one server, unless it is older than the read accepts. */
	async #answer(server: string, need: routing.Need, job: Job, decided: AbortSignal): Promise<Result> {
		const knownMs = this.#group.observed.age(server);
		const sentAt = this.#group.clock.now();
		const outcome = await this.#at(server, job, decided);
		const ageMs = knownMs + this.#group.clock.now() - sentAt;
		if (need.maximumAgeMs === undefined || ageMs <= need.maximumAgeMs || Either.isLeft(outcome)) {
			return {server, outcome};
		}

		this.counts.stale++;
		if (!job.isStale) {
			job.isStale = true;
			job.attempts.excuse();
		}

		return {server, outcome: errors.fail('not-run', 'receive', server, 'the answer was older than the read accepts')};
	}

	async #at(server: string, {request, deadline}: Job, decided: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		const startedAt = this.#group.clock.now();
		const end = Math.min(startedAt + attemptTimeoutMs, deadline);
		const acquired = await this.#group.pool(server).acquire(this.#left(end), decided);
		if (Either.isLeft(acquired)) {
			return acquired;
		}

		const connection = acquired.right;
		const outcome = decided.aborted
			? errors.fail('not-run', 'send', server, 'another server has answered')
			: await connection.execute(request.sql, Math.max(1, this.#left(end)));
		await this.#group.release(connection, 'clean');
		if (Either.isRight(outcome)) {
			this.#latency.record(request.class, this.#group.clock.now() - startedAt);
		}

		return outcome;
	}

	#hedgeDelay(name: string): number {
		const usual = this.#latency.percentile(name, hedgePercent) ?? hedgeDefaultMs;
		return Math.min(hedgeMostMs, Math.max(hedgeLeastMs, usual));
	}

	#left(end: number): number {
		return Math.max(0, end - this.#group.clock.now());
	}
}

/** Whether an outcome ends the read: an answer, an error of the database, or a failure that no other server changes. */
function isFinal(outcome: errors.Outcome<types.Answer>): boolean {
	return Either.isRight(outcome) || outcome.left.kind === 'database' || outcome.left.kind === 'position-lost' || isDenied(outcome);
}

function isDenied(outcome: errors.Outcome<types.Answer>): boolean {
	return Either.isLeft(outcome) && outcome.left.step === 'admit';
}
