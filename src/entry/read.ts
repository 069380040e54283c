/**
Reads outside transactions, and the choice of the server for a transaction that only reads.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as position from '../core/position.js';
import type * as errors from '../core/errors.js';
import * as jobs from './job.js';
import * as leases from './lease.js';
import type * as member from './member.js';
import * as statement from './statement.js';

/** A read that was not answered after this time in ms is sent to another server as well. */
const hedgeMs = 250;
/** What an answer from another place costs beside its latency, as ms of latency: links between places are billed. */
const remoteCostMs = 40;
const retryPauseMs = 10;

type Result = {readonly server: member.Member; readonly reply: statement.Reply | undefined};

/** Executes reads. */
export class Reader {
	readonly #context: jobs.Context;

	constructor(context: jobs.Context) {
		this.#context = context;
	}

	/** Executes a read of any route. */
	async execute(job: jobs.Run): Promise<statement.Reply> {
		return job.route.kind === 'primary' ? this.#atLeader(job) : this.#atAnyServer(job);
	}

	/** The position that a server must hold for a job, or why it can't be told. */
	async floor(job: jobs.Placed): Promise<statement.Position | undefined> {
		const floor = await job.group.awaitFloor(job.arrivedAt, job.route.maximumAgeMs, jobs.patience(this.#context, job));
		return floor ? position.latest(floor.position, job.own) ?? undefined : undefined;
	}

	/** Servers that may hold a position, best first. The leader holds every one. */
	candidates(job: jobs.Placed, floor: statement.Position): member.Member[] {
		const cost = (server: member.Member): number => server.expectedMs + (server.registration.place === this.#context.place ? 0 : remoteCostMs);
		const ready = job.group.members.filter(server => server.isReady && server.missingSince === undefined);
		const usable = ready.length > 0 ? ready : job.group.members;
		const isAvoided = (server: member.Member): number => Number(server.isAvoided || server.lags(floor));
		return usable.toSorted((one, other) => isAvoided(one) - isAvoided(other) || cost(one) - cost(other));
	}

	/** A read inside a transaction of its own: a server that has been replaced refuses it. */
	async #atLeader(job: jobs.Run): Promise<statement.Reply> {
		let reason = 'no server leads';
		let isOffered = false;
		while (jobs.hasTime(this.#context, job)) {
			const leader = await job.group.awaitLeader(jobs.patience(this.#context, job));
			const lease = leader && await leases.take(leader, job.state, this.#context.clock, {timeoutMs: jobs.queueTime(this.#context, job)});
			if (!leader || !lease || Either.isLeft(lease)) {
				reason = lease && Either.isLeft(lease) ? lease.left.message : reason;
				break;
			}

			const reply = await this.#guarded(job, lease.right);
			if (Either.isRight(reply) && !statement.isNotRun(reply.right)) {
				return reply.right;
			}

			isOffered ||= Either.isLeft(reply) && reply.left.kind === 'outcome-unknown';
			reason = Either.isLeft(reply) ? reply.left.message : `${reply.right.refusal ?? ''} ${reply.right.message}`;
			await this.#context.clock.sleep(retryPauseMs);
		}

		return isOffered ? this.#fail(job, reason) : jobs.refuse(this.#context, job, reason);
	}

	async #guarded(job: jobs.Run, lease: leases.Lease): Promise<errors.Outcome<statement.Reply>> {
		const sentAt = this.#context.clock.mark();
		const begun = await lease.begin({kind: 'begin'}, Math.min(hedgeMs, jobs.left(this.#context, job)));
		job.group.note(lease.member, sentAt, begun);
		if (Either.isLeft(begun) || begun.right.refusal !== null) {
			await lease.release();
			return begun;
		}

		const ran = lease.run(job.work, null, jobs.left(this.#context, job));
		void this.#finish(lease);
		const reply = await ran;
		return Either.map((answer: statement.Reply): statement.Reply => ({...answer, state: 'none'}))(reply);
	}

	/** Ends the transaction of a read behind it, in the same write. */
	async #finish(lease: leases.Lease): Promise<void> {
		await lease.rollback();
		await lease.release();
	}

	/** A read at the best server; at another one as well when the answer takes long or the server refuses. */
	async #atAnyServer(job: jobs.Run): Promise<statement.Reply> {
		const floor = await this.floor(job);
		if (!floor) {
			return jobs.refuse(this.#context, job, 'no server confirmed a position that is young enough');
		}

		const decided = new AbortController();
		const running = new Map<string, Promise<Result>>();
		const untried = this.candidates(job, floor);
		let refused: statement.Reply | undefined;
		while (jobs.left(this.#context, job) > 1 && (untried.length > 0 || running.size > 0)) {
			const next = untried.shift();
			if (next) {
				running.set(next.id, this.#at(next, job, floor, decided.signal));
			}

			const result = await this.#context.clock.limit(Promise.race(running.values()), untried.length > 0 ? hedgeMs : jobs.left(this.#context, job));
			if (result?.reply && !statement.isNotRun(result.reply)) {
				decided.abort('decided');
				return {...result.reply, state: 'none'};
			}

			refused = result?.reply ?? refused;
			this.#redirect(job, floor, result);
			running.delete(result?.server.id ?? '');
		}

		decided.abort('decided');
		return refused
			? jobs.refuse(this.#context, job, `${refused.refusal ?? ''} ${refused.message}`)
			: this.#fail(job, 'no server answered in time');
	}

	/** Records that a read goes to another server as well. */
	#redirect(job: jobs.Run, floor: statement.Position, result: Result | undefined): void {
		this.#context.decisions.request('read-redirected', job.id, {
			service: job.group.name,
			server: result?.server.id ?? '',
			floor: position.format(floor),
			reason: result ? result.reply?.refusal ?? 'no answer' : 'slow',
		});
	}

	async #at(server: member.Member, job: jobs.Run, floor: statement.Position, decided: AbortSignal): Promise<Result> {
		const lease = await leases.take(server, job.state, this.#context.clock, {timeoutMs: jobs.left(this.#context, job), signal: decided});
		if (Either.isLeft(lease)) {
			return {server, reply: undefined};
		}

		if (decided.aborted) {
			await lease.right.release();
			return {server, reply: undefined};
		}

		const outcome = await lease.right.run(job.work, floor, jobs.left(this.#context, job));
		await lease.right.release();
		if (Either.isRight(outcome) && outcome.right.refusal === 'lagging') {
			server.lagged();
		}

		return {server, reply: Either.isRight(outcome) ? outcome.right : undefined};
	}

	/** A read that may have run. It changed nothing, and its caller may send it again. */
	#fail(job: jobs.Run, reason: string): statement.Reply {
		this.#context.decisions.request('read-failed', job.id, {service: job.group.name, route: job.route.name, reason});
		return statement.refuse('failed', reason, 'none');
	}
}
