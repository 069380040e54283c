/**
Transactions: each holds one server connection from its beginning to its end.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from '../core/errors.js';
import * as executor from './executor.js';
import type * as group from './group.js';
import * as jobs from './job.js';
import * as leases from './lease.js';
import type * as read from './read.js';
import * as statement from './statement.js';

/** Time in ms for the answer to a BEGIN, which takes no slot at the server. */
const beginTimeoutMs = 400;
const retryPauseMs = 10;

/** An open transaction on a connection of this host. */
export class Transaction extends executor.Transaction {
	readonly #group: group.Group;
	readonly #lease: leases.Lease;
	#isFailed = false;
	#hasWritten = false;
	#isEnded = false;
	readonly #context: jobs.Context;

	constructor(context: jobs.Context, job: jobs.Placed, lease: leases.Lease) {
		super(job);
		this.#context = context;
		this.#group = job.group;
		this.#lease = lease;
	}

	override get isFailed(): boolean {
		return this.#isFailed;
	}

	override get isLost(): boolean {
		return !this.#lease.isOpen;
	}

	override async run(work: leases.Work, timeoutMs: number): Promise<statement.Reply> {
		if (this.isFailed) {
			return this.refusal();
		}

		this.#hasWritten ||= work.mode === 'write';
		const outcome = await this.#lease.run(work, null, timeoutMs);
		if (Either.isLeft(outcome)) {
			return this.#abort(work.id, outcome.left.message);
		}

		this.#isFailed = outcome.right.state !== 'open';
		return {...outcome.right, state: this.state};
	}

	override async commit(id: string, text: string, timeoutMs: number): Promise<statement.Reply> {
		if (this.isFailed && !this.#lease.isOpen) {
			await this.rollback();
			return statement.refuse('aborted', 'the transaction was rolled back', 'none');
		}

		this.#isEnded = true;
		const {member} = this.#lease;
		const sentAt = this.#context.clock.mark();
		const before = member.position;
		const isCommit = this.#hasWritten && !this.isFailed;
		if (isCommit) {
			member.commits(sentAt.monotonicMs);
		}

		const outcome = await this.#lease.end(id, text, timeoutMs);
		if (Either.isRight(outcome) && outcome.right.state !== 'none') {
			await this.#lease.rollback();
		}

		await this.#lease.release();
		if (isCommit) {
			member.committed(sentAt.monotonicMs, Either.isRight(outcome) || outcome.left.kind === 'not-run');
		}

		if (Either.isLeft(outcome)) {
			return this.#lose(id, outcome.left);
		}

		const {refusal, position} = outcome.right;
		member.holds(position);
		if (isCommit && refusal === null && position) {
			this.#group.confirm(member, sentAt, position);
			this.#group.acknowledge(before, position);
		} else if (refusal === 'read-only') {
			this.#group.deny(member, sentAt);
		}

		return {...outcome.right, state: 'none'};
	}

	override async rollback(): Promise<void> {
		if (!this.#isEnded) {
			this.#isEnded = true;
			await this.#lease.rollback();
			await this.#lease.release();
		}
	}

	override async expire(reason: string): Promise<void> {
		this.#isFailed = true;
		this.#context.decisions.request('transaction-ended', this.job.id, {service: this.#group.name, server: this.#lease.member.id, reason});
		this.#lease.close();
		await this.rollback();
	}

	/** The connection was lost before COMMIT was sent, so the server rolls back. */
	async #abort(id: string, reason: string): Promise<statement.Reply> {
		this.#isFailed = true;
		this.#context.decisions.request('transaction-aborted', id, {
			service: this.#group.name, route: this.job.route.name, server: this.#lease.member.id, reason,
		});
		this.#lease.close();
		return statement.refuse('aborted', `the transaction was rolled back: ${reason}`, 'failed');
	}

	#lose(id: string, failure: errors.Failure): statement.Reply {
		this.#context.decisions.request('commit-lost', id, {
			service: this.#group.name,
			route: this.job.route.name,
			server: this.#lease.member.id,
			hasWritten: this.#hasWritten,
			reason: errors.describe(failure),
		});
		return this.#hasWritten && failure.kind !== 'not-run'
			? statement.refuse('in-doubt', `the answer to COMMIT was lost: ${failure.message}`, 'none')
			: statement.refuse('aborted', `nothing was kept: ${failure.message}`, 'none');
	}
}

/** Opens transactions. */
export class Opener {
	readonly #context: jobs.Context;
	readonly #reader: read.Reader;

	constructor(context: jobs.Context, reader: read.Reader) {
		this.#context = context;
		this.#reader = reader;
	}

	/** Opens a transaction, or gives the refusal. One that only reads may run on any server that is fresh enough. */
	async open(job: jobs.Placed, mode: types.AccessMode): Promise<Transaction | statement.Reply> {
		return mode === 'read' && job.route.kind !== 'primary' ? this.#atAnyServer(job) : this.#atLeader(job);
	}

	async #atLeader(job: jobs.Placed): Promise<Transaction | statement.Reply> {
		let reason = 'no server leads';
		while (jobs.hasTime(this.#context, job)) {
			const leader = await job.group.awaitLeader(jobs.patience(this.#context, job));
			const lease = leader && await leases.take(leader, job.state, this.#context.clock, {timeoutMs: jobs.queueTime(this.#context, job)});
			if (!lease || Either.isLeft(lease)) {
				reason = lease ? lease.left.message : reason;
				break;
			}

			const sentAt = this.#context.clock.mark();
			const begun = await lease.right.begin({kind: 'begin'}, Math.min(beginTimeoutMs, jobs.left(this.#context, job)));
			job.group.note(lease.right.member, sentAt, begun);
			if (Either.isRight(begun) && begun.right.refusal === null) {
				return new Transaction(this.#context, job, lease.right);
			}

			await lease.right.release();
			reason = Either.isRight(begun) ? `${begun.right.refusal ?? ''} ${begun.right.message}` : begun.left.message;
			await this.#context.clock.sleep(retryPauseMs);
		}

		return jobs.refuse(this.#context, job, reason);
	}

	async #atAnyServer(job: jobs.Placed): Promise<Transaction | statement.Reply> {
		const floor = await this.#reader.floor(job);
		if (!floor) {
			return jobs.refuse(this.#context, job, 'no server confirmed a position that is young enough');
		}

		let reason = 'no server is known';
		for (const server of this.#reader.candidates(job, floor)) {
			const lease = await leases.take(server, job.state, this.#context.clock, {timeoutMs: jobs.queueTime(this.#context, job)});
			if (Either.isLeft(lease)) {
				reason = lease.left.message;
				continue;
			}

			const startedAt = this.#context.clock.now();
			const begun = await lease.right.begin({kind: 'begin-read', floor}, Math.min(beginTimeoutMs, jobs.left(this.#context, job)));
			if (Either.isRight(begun) && begun.right.refusal === null) {
				return new Transaction(this.#context, job, lease.right);
			}

			if (Either.isLeft(begun)) {
				server.failed(startedAt);
			} else if (begun.right.refusal === 'lagging') {
				server.lagged();
			}

			await lease.right.release();
			reason = Either.isRight(begun) ? `${begun.right.refusal ?? ''} ${begun.right.message}` : begun.left.message;
		}

		return jobs.refuse(this.#context, job, reason);
	}
}
