/**
Writes outside transactions. A write is sent again only after a reply that guarantees that it did not run.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as commits from './group/commit.js';
import * as jobs from './job.js';
import * as leaders from './leader.js';
import type * as leases from './lease.js';
import * as outcomes from './load/outcome.js';
import * as statement from './statement.js';

const retryDelayMs = 10;

/** Executes writes. */
export class Writer {
	readonly #context: jobs.Context;

	constructor(context: jobs.Context) {
		this.#context = context;
	}

	/** Executes a write at the leader. */
	async execute(job: jobs.StatementJob): Promise<statement.Reply> {
		let reason = 'too little time is left for an attempt';
		const backoff = job.group.createBackoff();
		while (jobs.hasTime(this.#context, job)) {
			const lease = await leaders.acquire(this.#context, job);
			if (Either.isLeft(lease)) {
				reason = lease.left.message;
				break;
			}

			const reply = await this.#attempt(job, lease.right);
			if (!statement.isNotRun(reply)) {
				return {...reply, state: 'none'};
			}

			reason = `${reply.refusal ?? ''} ${reply.message}`;
			await this.#context.clock.sleep(reply.refusal === 'busy' ? backoff.next() : retryDelayMs);
		}

		return jobs.refuse(this.#context, job, reason);
	}

	async #attempt(job: jobs.StatementJob, lease: leases.Lease): Promise<statement.Reply> {
		const sentAt = this.#context.clock.mark();
		const before = lease.member.position;
		lease.member.commitSent(sentAt.monotonicMs);
		const timeoutMs = jobs.remainingMs(this.#context, job);
		job.group.balancer.started(lease.member);
		const outcome = await lease.run(job.work, null, timeoutMs);
		job.group.balancer.ended(lease.member, outcomes.classify(outcome, {kind: 'write', elapsedMs: this.#context.clock.now() - sentAt.monotonicMs, timeoutMs}));
		await lease.release();
		lease.member.commitEnded(sentAt.monotonicMs, Either.isRight(outcome) || outcome.left.kind === 'not-run');
		if (Either.isRight(outcome)) {
			const {refusal, position: logEnd} = outcome.right;
			if (refusal === null) {
				const confirmed = await commits.confirm(job.group, {
					server: lease.member, sentAt, before, logEnd,
				}, jobs.remainingMs(this.#context, job));
				if (Either.isLeft(confirmed)) {
					return this.#doubt(job, lease, sentAt, confirmed.left.message);
				}
			} else if (refusal === 'read-only') {
				job.group.denyLeader(lease.member, sentAt);
			}

			return outcome.right;
		}

		if (outcome.left.kind === 'not-run') {
			return statement.refuse('busy', outcome.left.message, 'none');
		}

		return this.#doubt(job, lease, sentAt, `the reply of ${lease.member.id} was lost: ${outcome.left.message}`);
	}

	#doubt(job: jobs.StatementJob, {member}: leases.Lease, sentAt: clock.Mark, reason: string): statement.Reply {
		this.#context.decisions.request('outcome-unknown', job.id, {
			service: job.group.name,
			route: job.route.name,
			server: member.id,
			reason,
			afterMs: Math.round(this.#context.clock.now() - sentAt.monotonicMs),
		});
		return statement.refuse('in-doubt', reason, 'none');
	}
}
