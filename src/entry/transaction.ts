/**
Transactions on this host's connections. Each keeps one server connection from BEGIN to its end.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from '../core/errors.js';
import * as executor from './executor.js';
import type * as group from './group.js';
import * as commits from './group/commit.js';
import * as jobs from './job.js';
import * as leaders from './leader.js';
import * as leases from './lease.js';
import * as outcomes from './load/outcome.js';
import type * as read from './read.js';
import * as statement from './statement.js';

/** Timeout of a BEGIN, which needs no execution slot at the server. */
const beginTimeoutMs = 400;
const retryDelayMs = 10;

/** Why no server opened a read-only transaction, and the servers whose logs lack its minimum position. */
type Unopened = {readonly reason: string; readonly lagging: ReadonlySet<string>};

/** An open transaction on a connection of this host. */
export class Transaction extends executor.Transaction {
	readonly #group: group.Group;
	readonly #lease: leases.Lease;
	#isFailed = false;
	#hasWritten = false;
	#isEnded = false;
	readonly #context: jobs.Context;

	constructor(context: jobs.Context, job: jobs.GroupJob, lease: leases.Lease) {
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

	override get hasChanges(): boolean {
		return this.#hasWritten && !this.#isFailed;
	}

	override async run(work: leases.Work, timeoutMs: number): Promise<statement.Reply> {
		if (this.isFailed) {
			return this.refusal();
		}

		this.#hasWritten ||= work.mode === 'write';
		const startedAt = this.#context.clock.now();
		this.#group.balancer.started(this.#lease.member);
		const outcome = await this.#lease.run(work, null, timeoutMs);
		this.#group.balancer.ended(this.#lease.member, outcomes.classify(outcome, {kind: 'write', elapsedMs: this.#context.clock.now() - startedAt, timeoutMs}));
		if (Either.isLeft(outcome)) {
			return this.#failStatement(work.id, outcome.left.message);
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
		const isCommit = this.hasChanges;
		if (isCommit) {
			member.commitSent(sentAt.monotonicMs);
		}

		const outcome = await this.#lease.end(id, text, timeoutMs);
		if (Either.isRight(outcome) && outcome.right.state !== 'none') {
			await this.#lease.rollback();
		}

		await this.#lease.release();
		if (isCommit) {
			member.commitEnded(sentAt.monotonicMs, Either.isRight(outcome) || outcome.left.kind === 'not-run');
		}

		if (Either.isLeft(outcome)) {
			return this.#failCommit(id, outcome.left);
		}

		const {refusal, position: logEnd} = outcome.right;
		member.recordPosition(logEnd);
		if (isCommit && refusal === null) {
			const remainingMs = sentAt.monotonicMs + timeoutMs - this.#context.clock.now();
			const confirmed = await commits.confirm(this.#group, {
				server: member, sentAt, before, logEnd,
			}, remainingMs);
			if (Either.isLeft(confirmed)) {
				return this.#failCommit(id, confirmed.left);
			}
		} else if (refusal === 'read-only') {
			this.#group.denyLeader(member, sentAt);
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

	override async abort(reason: string): Promise<void> {
		this.#isFailed = true;
		this.#context.decisions.request('transaction-ended', this.job.id, {service: this.#group.name, server: this.#lease.member.id, reason});
		this.#lease.close();
		await this.rollback();
	}

	/** Handles the loss of the connection before COMMIT was sent. The server rolls back when it detects the loss. */
	async #failStatement(id: string, reason: string): Promise<statement.Reply> {
		this.#isFailed = true;
		this.#context.decisions.request('transaction-aborted', id, {
			service: this.#group.name, route: this.job.route.name, server: this.#lease.member.id, reason,
		});
		this.#lease.close();
		return statement.refuse('aborted', `the transaction was rolled back: ${reason}`, 'failed');
	}

	#failCommit(id: string, failure: errors.Failure): statement.Reply {
		this.#context.decisions.request('commit-lost', id, {
			service: this.#group.name,
			route: this.job.route.name,
			server: this.#lease.member.id,
			hasWritten: this.#hasWritten,
			reason: errors.describe(failure),
		});
		return this.#hasWritten && failure.kind !== 'not-run'
			? statement.refuse('in-doubt', `the reply to COMMIT was lost: ${failure.message}`, 'none')
			: statement.refuse('aborted', `the transaction was not committed: ${failure.message}`, 'none');
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

	/** Opens a transaction, or returns the refusal. A read-only one may use any server whose log contains the minimum position. */
	async open(job: jobs.GroupJob, mode: types.AccessMode): Promise<Transaction | statement.Reply> {
		return mode === 'read' && job.route.kind !== 'primary' ? this.#openForReads(job) : this.#openAtLeader(job);
	}

	async #openAtLeader(job: jobs.GroupJob): Promise<Transaction | statement.Reply> {
		let reason = 'too little time is left for an attempt';
		while (jobs.hasTime(this.#context, job)) {
			const lease = await leaders.acquire(this.#context, job, 'transaction');
			if (Either.isLeft(lease)) {
				reason = lease.left.message;
				break;
			}

			const sentAt = this.#context.clock.mark();
			const begun = await lease.right.begin({kind: 'begin'}, Math.min(beginTimeoutMs, jobs.remainingMs(this.#context, job)));
			job.group.recordBegin(lease.right.member, sentAt, begun);
			if (Either.isRight(begun) && begun.right.refusal === null) {
				return new Transaction(this.#context, job, lease.right);
			}

			await lease.right.release();
			reason = Either.isRight(begun) ? `${begun.right.refusal ?? ''} ${begun.right.message}` : begun.left.message;
			await this.#context.clock.sleep(retryDelayMs);
		}

		return jobs.refuse(this.#context, job, reason);
	}

	async #openForReads(job: jobs.GroupJob): Promise<Transaction | statement.Reply> {
		const minPosition = await this.#reader.minPosition(job);
		if (!minPosition) {
			return jobs.refuse(this.#context, job, 'no server confirmed a position within the maximum age of the route');
		}

		const opened = await this.#openAt(job, minPosition);
		if (opened instanceof Transaction) {
			return opened;
		}

		const presentPosition = await this.#reader.presentPosition(job, minPosition, opened.lagging);
		const reopened = presentPosition ? await this.#openAt(job, presentPosition) : opened;
		return reopened instanceof Transaction ? reopened : jobs.refuse(this.#context, job, reopened.reason);
	}

	/** Opens a read-only transaction at the best server whose log contains a position. */
	async #openAt(job: jobs.GroupJob, minPosition: statement.Position): Promise<Transaction | Unopened> {
		const lagging = new Set<string>();
		let reason = 'no backend server is known';
		for (const server of this.#reader.candidates(job, minPosition, 'transaction')) {
			const lease = await leases.acquire(server, job.state, this.#context.clock, {...jobs.connectionRequest(job, 'transaction'), timeoutMs: jobs.connectionWaitMs(this.#context, job)});
			if (Either.isLeft(lease)) {
				reason = lease.left.message;
				continue;
			}

			const startedAt = this.#context.clock.now();
			const begun = await lease.right.begin({kind: 'begin-read', minPosition}, Math.min(beginTimeoutMs, jobs.remainingMs(this.#context, job)));
			if (Either.isRight(begun) && begun.right.refusal === null) {
				return new Transaction(this.#context, job, lease.right);
			}

			if (Either.isLeft(begun)) {
				server.recordFailure(startedAt);
			} else if (begun.right.refusal === 'lagging') {
				server.recordLag();
				lagging.add(server.id);
			}

			await lease.right.release();
			reason = Either.isRight(begun) ? `${begun.right.refusal ?? ''} ${begun.right.message}` : begun.left.message;
		}

		return {reason, lagging};
	}
}
