/**
Orders to the backend servers of one group: status queries, pauses of replication, and the step-down of a leader.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import type * as attempt from './attempt.js';
import type * as candidate from './candidate.js';
import type * as decisions from './decisions.js';
import type * as group from './group.js';
import type * as member from './member.js';
import type * as statement from './statement.js';

export type Options = {
	readonly group: group.Group;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Records the answers; without it, the orders are none of this host's own attempts. */
	readonly trace?: attempt.Trace;
};

/** Timeout of one request to a server, and the number of attempts. */
const requestTimeoutMs = 500;
const maxAttempts = 3;
/** Timeout of an order that is sent while the service has no leader. */
const urgentTimeoutMs = 200;

/** Sends orders and records their answers. */
export class Orders {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Queries the servers' status; those that don't respond are left out. */
	async status(servers: readonly member.Member[]): Promise<candidate.Candidate[]> {
		const outcomes = await Promise.all(servers.map(async server => this.#send(server, {kind: 'status'})));
		return outcomes.flatMap(outcome => Either.isRight(outcome) ? [outcome.right] : []);
	}

	/** Like `status`, but with one short attempt, for the time in which the service has no leader. */
	async urgentStatus(servers: readonly member.Member[]): Promise<candidate.Candidate[]> {
		const outcomes = await Promise.all(servers.map(async server => this.#options.clock.limit(this.#send(server, {kind: 'status'}, 1), urgentTimeoutMs)));
		return outcomes.flatMap(outcome => outcome && Either.isRight(outcome) ? [outcome.right] : []);
	}

	/** Pauses replication on the servers and returns their status. Errors: those of the first server that failed. */
	async pause(servers: readonly member.Member[], term: number): Promise<errors.Outcome<candidate.Candidate[]>> {
		const outcomes = await Promise.all(servers.map(async server => this.#send(server, {kind: 'pause', term})));
		const failed = outcomes.find(outcome => Either.isLeft(outcome));
		return failed && Either.isLeft(failed)
			? failed
			: Either.right(outcomes.flatMap(outcome => Either.isRight(outcome) ? [outcome.right] : []));
	}

	/** Resumes replication on the servers. */
	async resume(servers: readonly member.Member[]): Promise<void> {
		await Promise.all(servers.map(async server => this.#send(server, {kind: 'resume'})));
	}

	/**
	Tells a server to give up the lead of all terms below `term`, and returns its status after that. Makes one attempt: a leader
	that doesn't answer may have failed, and is then replaced without it.
	*/
	async stepDown(server: member.Member, term: number): Promise<errors.Outcome<candidate.Candidate>> {
		return this.#send(server, {kind: 'step-down', term}, 1);
	}

	async #send(server: member.Member, command: statement.Command, attempts = maxAttempts): Promise<errors.Outcome<candidate.Candidate>> {
		const outcome = await this.#request(server, command, attempts);
		this.#options.trace?.answered({
			server: server.id, order: command.kind, outcome: Either.map(({status}: candidate.Candidate) => status)(outcome), isSynchronized: server.isSynchronized,
		});
		return outcome;
	}

	async #request(server: member.Member, command: statement.Command, attempts: number): Promise<errors.Outcome<candidate.Candidate>> {
		let outcome: errors.Outcome<candidate.Candidate> = errors.fail('not-run', 'send', server.id, 'no request was sent');
		for (let attempt = 0; attempt < attempts; attempt++) {
			const sentAt = this.#options.clock.now();
			const acquired = await server.pool.acquire(requestTimeoutMs, {isInternal: true, isControl: true});
			if (Either.isLeft(acquired)) {
				outcome = acquired;
				continue;
			}

			const reply = await acquired.right.requestStatus(command, requestTimeoutMs);
			await server.pool.release(acquired.right, 'clean');
			this.#options.decisions.record('server-ordered', {
				service: this.#options.group.name,
				server: server.id,
				order: command.kind,
				term: 'term' in command ? command.term : 0,
				answer: Either.isRight(reply) ? `${reply.right.role} ${reply.right.term} ${position.format(reply.right.position)} ${reply.right.heldTerm}` : errors.describe(reply.left),
			});
			if (Either.isRight(reply)) {
				server.recordResponse();
				this.#options.group.verifyLog(server, reply.right.position);
				return Either.right({member: server, status: reply.right});
			}

			if (reply.left.kind === 'outcome-unknown') {
				server.recordFailure(sentAt);
			}

			outcome = reply;
		}

		return outcome;
	}
}
