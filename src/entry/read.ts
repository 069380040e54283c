/**
Reads outside transactions, and the choice of servers for read-only transactions.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as position from '../core/position.js';
import * as retry from '../core/retry.js';
import type * as errors from '../core/errors.js';
import * as affinity from './customers/affinity.js';
import * as jobs from './job.js';
import * as leaders from './leader.js';
import * as leases from './lease.js';
import * as outcomes from './load/outcome.js';
import type * as member from './member.js';
import * as statement from './statement.js';

/** Delay after which a read without a reply is sent to another server as well. */
const hedgeDelayMs = 250;
const retryDelayMs = 10;

type Attempt = {readonly server: member.Member; readonly reply: statement.Reply | undefined};

/** What the attempts of one read share. */
type Race = {
	readonly minPosition: statement.Position;
	/** Servers that may have run the read: it was sent to them, and no reply said that it did not run. */
	readonly sent: Set<string>;
	/** Servers whose log lacks the minimum position. */
	readonly lagging: Set<string>;
	/** Aborts once the read is decided. */
	readonly signal: AbortSignal;
};

/** How the attempts of one read ended: the reply that decides it, `undefined` without any. */
type Result = Pick<Race, 'sent' | 'lagging'> & {readonly outcome: statement.Reply | undefined};

/** Executes reads. */
export class Reader {
	readonly #context: jobs.Context;
	/** Limits the reads that are sent to another server after one failed them. */
	readonly #retries = new retry.Budget();

	constructor(context: jobs.Context) {
		this.#context = context;
	}

	/** Executes a read, at the leader if the route is of kind `primary`. */
	async execute(job: jobs.StatementJob): Promise<statement.Reply> {
		return job.route.kind === 'primary' ? this.#executeAtLeader(job) : this.#executeHedged(job);
	}

	/** The position that a server's log must contain for a job; `undefined` if none was confirmed in time. */
	async minPosition(job: jobs.GroupJob): Promise<statement.Position | undefined> {
		for (;;) {
			const readIndex = await job.group.awaitReadIndex(job.arrivedAt, job.route.maximumAgeMs, jobs.serverWaitMs(this.#context, job));
			if (readIndex) {
				return position.latest(readIndex.position, job.sessionPosition) ?? undefined;
			}

			// The limit may have been noticed only during the wait, which it then extends.
			if (!job.group.isBlockedByLimit || !jobs.hasTime(this.#context, job)) {
				return undefined;
			}

			await this.#context.clock.sleep(retryDelayMs);
		}
	}

	/**
	The position to use in place of a minimum position that is missing in the logs of servers, the leader's among them;
	`undefined` if the leader's log may contain it, or if none was confirmed in time.

	A commit that isn't in the leader's log is in no log that the service has now: its servers were replaced, or a promotion
	dropped it. A read index requested after the job arrived covers all commits that the service has, the session's included.
	*/
	async presentPosition(job: jobs.GroupJob, minPosition: statement.Position, lagging: ReadonlySet<string>): Promise<statement.Position | undefined> {
		const {leader} = job.group;
		if (!leader || !lagging.has(leader.id) || !jobs.hasTime(this.#context, job)) {
			return undefined;
		}

		const readIndex = await job.group.awaitReadIndex(job.arrivedAt, 0, jobs.connectionWaitMs(this.#context, job));
		this.#context.decisions.request('position-missing', job.id, {
			service: job.group.name, server: leader.id, floor: position.format(minPosition), present: readIndex ? position.format(readIndex.position) : '',
		});
		return readIndex?.position;
	}

	/** Servers for a read at a minimum position, in order of preference. The leader's log contains every position. */
	candidates(job: jobs.GroupJob, minPosition: statement.Position, purpose: 'read' | 'transaction'): member.Member[] {
		const ready = job.group.members.filter(server => server.isReady && server.missingSince === undefined);
		const usable = ready.length > 0 ? ready : job.group.members;
		const isAvoided = (server: member.Member): number => Number(server.isAvoided || server.isLagging(minPosition));
		const ordered = job.group.balancer.order(usable, {
			place: this.#context.place,
			leader: job.group.leader,
			purpose,
			extraMs: server => affinity.openingMs(server, job.customer),
		});
		return ordered.toSorted((one, other) => isAvoided(one) - isAvoided(other));
	}

	/** Executes a read in a transaction of its own at the leader. A server that no longer leads refuses the BEGIN. */
	async #executeAtLeader(job: jobs.StatementJob): Promise<statement.Reply> {
		let reason = 'too little time is left for an attempt';
		let mayHaveRun = false;
		const backoff = job.group.createBackoff();
		while (jobs.hasTime(this.#context, job)) {
			const lease = await leaders.acquire(this.#context, job);
			if (Either.isLeft(lease)) {
				reason = lease.left.message;
				break;
			}

			const reply = await this.#runInTransaction(job, lease.right);
			if (Either.isRight(reply) && !statement.isNotRun(reply.right)) {
				return reply.right;
			}

			mayHaveRun ||= Either.isLeft(reply) && reply.left.kind === 'outcome-unknown';
			reason = Either.isLeft(reply) ? reply.left.message : `${reply.right.refusal ?? ''} ${reply.right.message}`;
			await this.#context.clock.sleep(Either.isRight(reply) && reply.right.refusal === 'busy' ? backoff.next() : retryDelayMs);
		}

		return mayHaveRun ? this.#fail(job, reason) : jobs.refuse(this.#context, job, reason);
	}

	async #runInTransaction(job: jobs.StatementJob, lease: leases.Lease): Promise<errors.Outcome<statement.Reply>> {
		const sentAt = this.#context.clock.mark();
		const begun = await lease.begin({kind: 'begin'}, Math.min(hedgeDelayMs, jobs.remainingMs(this.#context, job)));
		job.group.recordBegin(lease.member, sentAt, begun);
		if (Either.isLeft(begun) || begun.right.refusal !== null) {
			await lease.release();
			return begun;
		}

		const timeoutMs = jobs.remainingMs(this.#context, job);
		const startedAt = this.#context.clock.now();
		job.group.balancer.started(lease.member);
		const running = lease.run(job.work, null, timeoutMs);
		void this.#endTransaction(lease);
		const outcome = await running;
		job.group.balancer.ended(lease.member, outcomes.classify(outcome, {kind: 'write', elapsedMs: this.#context.clock.now() - startedAt, timeoutMs}));
		return Either.map((reply: statement.Reply): statement.Reply => ({...reply, state: 'none'}))(outcome);
	}

	/** Rolls back after a read; called so that ROLLBACK goes in the same write as the read. */
	async #endTransaction(lease: leases.Lease): Promise<void> {
		await lease.rollback();
		await lease.release();
	}

	/** Sends a read to the servers whose logs contain its minimum position, or all commits that the service has now. */
	async #executeHedged(job: jobs.StatementJob): Promise<statement.Reply> {
		const minPosition = await this.minPosition(job);
		if (!minPosition) {
			return jobs.refuse(this.#context, job, 'no server confirmed a position within the maximum age of the route');
		}

		const result = await this.#executeAt(job, minPosition);
		const presentPosition = isNotRun(result) ? await this.presentPosition(job, minPosition, result.lagging) : undefined;
		return this.#conclude(job, presentPosition ? await this.#executeAt(job, presentPosition) : result);
	}

	/** Sends a read to the best server, and to the next one after a delay without a reply or after a refusal. */
	async #executeAt(job: jobs.StatementJob, minPosition: statement.Position): Promise<Result> {
		const cancellation = new AbortController();
		const race = {
			minPosition, sent: new Set<string>(), lagging: new Set<string>(), signal: cancellation.signal,
		};
		const outcome = await this.#race(job, race);
		cancellation.abort('decided');
		return {outcome, sent: race.sent, lagging: race.lagging};
	}

	#conclude(job: jobs.StatementJob, result: Result): statement.Reply {
		const {outcome} = result;
		if (outcome && !statement.isNotRun(outcome)) {
			return {...outcome, state: 'none'};
		}

		return outcome && isNotRun(result)
			? jobs.refuse(this.#context, job, `${outcome.refusal ?? ''} ${outcome.message}`)
			: this.#fail(job, 'no server replied in time');
	}

	/** Returns the first reply of a server that ran the read, else a failure, a refusal, or `undefined` without any reply. */
	async #race(job: jobs.StatementJob, race: Race): Promise<statement.Reply | undefined> {
		const running = new Map<string, Promise<Attempt>>();
		const untried = this.candidates(job, race.minPosition, 'read');
		let refused: statement.Reply | undefined;
		let failed: statement.Reply | undefined;
		this.#retries.startRequest();
		while (jobs.remainingMs(this.#context, job) > 1 && (untried.length > 0 || running.size > 0)) {
			const next = untried.shift();
			if (next) {
				running.set(next.id, this.#attempt(next, job, race));
			}

			const result = await this.#context.clock.limit(Promise.race(running.values()), untried.length > 0 ? hedgeDelayMs : jobs.remainingMs(this.#context, job));
			if (result?.reply && !statement.isNotRun(result.reply)) {
				const isRetried = result.reply.refusal === 'failed' && !failed && untried.length > 0 && this.#retries.tryAcquire();
				if (!isRetried) {
					return result.reply;
				}

				failed = result.reply;
			} else if (result) {
				refused = result.reply ?? refused;
			} else if (next && race.sent.has(next.id)) {
				job.group.balancer.overdue(next, hedgeDelayMs);
			}

			this.#recordRedirect(job, race.minPosition, result);
			running.delete(result?.server.id ?? '');
		}

		return failed ?? refused;
	}

	/** Records that a read is sent to another server, with the reason. */
	#recordRedirect(job: jobs.StatementJob, minPosition: statement.Position, result: Attempt | undefined): void {
		this.#context.decisions.request('read-redirected', job.id, {
			service: job.group.name,
			server: result?.server.id ?? '',
			floor: position.format(minPosition),
			reason: result ? result.reply?.refusal ?? 'no reply' : 'slow',
		});
	}

	async #attempt(server: member.Member, job: jobs.StatementJob, {minPosition, sent, lagging, signal}: Race): Promise<Attempt> {
		const {balancer} = job.group;
		balancer.started(server);
		const lease = await leases.acquire(server, job.state, this.#context.clock, {...jobs.connectionRequest(job, 'statement'), timeoutMs: jobs.remainingMs(this.#context, job), signal});
		if (Either.isLeft(lease)) {
			const isUnreachable = !signal.aborted && server.pool.open === 0 && lease.left.step === 'connect';
			balancer.ended(server, {kind: isUnreachable ? 'silent' : 'none'});
			return {server, reply: undefined};
		}

		if (signal.aborted) {
			balancer.ended(server, {kind: 'none'});
			await lease.right.release();
			return {server, reply: undefined};
		}

		sent.add(server.id);
		const timeoutMs = jobs.remainingMs(this.#context, job);
		const startedAt = this.#context.clock.now();
		const outcome = await lease.right.run(job.work, minPosition, timeoutMs);
		balancer.ended(server, outcomes.classify(outcome, {kind: 'read', elapsedMs: this.#context.clock.now() - startedAt, timeoutMs}));
		if (Either.isRight(outcome) ? statement.isNotRun(outcome.right) : outcome.left.kind === 'not-run') {
			sent.delete(server.id);
		}

		await lease.right.release();
		if (Either.isRight(outcome) && outcome.right.refusal === 'lagging') {
			server.recordLag();
			lagging.add(server.id);
		}

		return {server, reply: Either.isRight(outcome) ? outcome.right : undefined};
	}

	/** Fails a read that may have run. A read changes nothing, so the caller may send it again. */
	#fail(job: jobs.StatementJob, reason: string): statement.Reply {
		this.#context.decisions.request('read-failed', job.id, {service: job.group.name, route: job.route.name, reason});
		return statement.refuse('failed', reason, 'none');
	}
}

/** Whether servers refused a read, and none may have run it. */
function isNotRun({outcome, sent}: Result): boolean {
	return outcome !== undefined && statement.isNotRun(outcome) && sent.size === 0;
}
