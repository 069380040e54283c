/**
Work that is done by other hosts where this one has no connections to the servers.

A request that was not written, or that another host refused without running it, goes to the next host. A read whose
reply was lost may run again; a write is then in doubt.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from '../core/errors.js';
import * as executor from './executor.js';
import * as jobs from './job.js';
import type * as leases from './lease.js';
import type * as peers from './peer.js';
import * as statement from './statement.js';

/** Hosts for the work of a service in the order in which to ask them; `local` is this one. */
export type Route = readonly Target[];
type Target = peers.Peer | 'local';
type Result = {readonly target: Target; readonly reply: statement.Reply | undefined; readonly mayHaveRun: boolean};

/** Time in ms after which a read that got no reply goes to another host as well: more than a slow answer of a server. */
const hedgeMs = 400;
/** Time in ms after a deadline for which work that notices it itself may still reply. */
const lateMs = 50;
/** Time in ms for the reply to BEGIN beyond what a job may wait: a round trip and the answer of the server. */
const beginReserveMs = 450;

/** Forwards work, or does it here. */
export class Forwarder extends executor.Executor {
	readonly #context: jobs.Context;
	readonly #local: executor.Executor;
	readonly #route: (service: string) => Route;
	#lastTransaction = 0;

	constructor(context: jobs.Context, local: executor.Executor, route: (service: string) => Route) {
		super();
		this.#context = context;
		this.#local = local;
		this.#route = route;
	}

	override expect(service: string): void {
		for (const target of this.#route(service)) {
			if (target === 'local') {
				this.#local.expect(service);
			} else {
				target.prepare();
			}
		}
	}

	override async run(job: jobs.Job, work: leases.Work): Promise<statement.Reply> {
		const untried = [...this.#route(job.route.service)];
		const running = new Map<Target, Promise<Result>>();
		let refused: statement.Reply | undefined;
		let mayHaveRun = false;
		while (untried.length > 0 || running.size > 0) {
			const next = refused && !jobs.hasTime(this.#context, job) ? undefined : untried.shift();
			if (next) {
				running.set(next, this.#at(next, job, work));
			} else if (running.size === 0) {
				break;
			}

			const mayHedge = work.mode === 'read' && untried.length > 0;
			const result = await this.#context.clock.limit(Promise.race(running.values()), mayHedge ? hedgeMs : jobs.left(this.#context, job) + lateMs);
			if (result?.reply && !statement.isNotRun(result.reply)) {
				return result.reply;
			}

			if (result) {
				refused = result.reply ?? refused;
				mayHaveRun ||= result.mayHaveRun;
				running.delete(result.target);
			} else if (!mayHedge) {
				break;
			}
		}

		if (mayHaveRun || running.size > 0) {
			return statement.refuse(work.mode === 'read' ? 'failed' : 'in-doubt', 'no host replied in time', 'none');
		}

		return refused ?? jobs.refuse(this.#context, job, 'no host with connections to the servers could be reached');
	}

	override async begin(job: jobs.Job, mode: types.AccessMode): Promise<executor.Transaction | statement.Reply> {
		let last: statement.Reply | undefined;
		for (const target of this.#route(job.route.service)) {
			if (last && !jobs.hasTime(this.#context, job)) {
				break;
			}

			const opened = target === 'local' ? await this.#local.begin(job, mode) : await this.#open(target, job, mode);
			if (opened instanceof executor.Transaction) {
				return opened;
			}

			last = opened;
		}

		return last ?? jobs.refuse(this.#context, job, 'no host with connections to the servers could be reached');
	}

	async #at(target: Target, job: jobs.Job, work: leases.Work): Promise<Result> {
		return target === 'local'
			? {target, reply: await this.#local.run(job, work), mayHaveRun: false}
			: this.#forward(target, job, work);
	}

	/** What became of a statement at another host. Without a reply it may be given to a further host. */
	async #forward(target: peers.Peer, job: jobs.Job, work: leases.Work): Promise<Result> {
		const outcome = await target.ask({kind: 'run', job: describeJob(this.#context, job), work: describeWork(work)}, jobs.left(this.#context, job));
		if (Either.isRight(outcome)) {
			return {target, reply: outcome.right, mayHaveRun: false};
		}

		this.#context.decisions.request('forward-failed', job.id, {
			service: job.route.service, route: job.route.name, peer: target.name, reason: errors.describe(outcome.left),
		});
		const mayHaveRun = outcome.left.kind !== 'not-run';
		const reply = work.mode === 'write' && mayHaveRun
			? statement.refuse('in-doubt', `the reply of ${target.name} was lost: ${outcome.left.message}`, 'none')
			: undefined;
		return {target, reply, mayHaveRun};
	}

	async #open(peer: peers.Peer, job: jobs.Job, mode: types.AccessMode): Promise<executor.Transaction | statement.Reply> {
		this.#lastTransaction++;
		const transaction = this.#lastTransaction;
		const timeoutMs = Math.min(jobs.queueTime(this.#context, job) + beginReserveMs, jobs.left(this.#context, job));
		const outcome = await peer.ask({
			kind: 'begin', transaction, mode, job: describeJob(this.#context, job),
		}, timeoutMs);
		if (Either.isLeft(outcome)) {
			this.#context.decisions.request('forward-failed', job.id, {
				service: job.route.service, route: job.route.name, peer: peer.name, reason: errors.describe(outcome.left),
			});
			peer.tell({kind: 'rollback', transaction});
			return statement.refuse('busy', `not run: ${outcome.left.message}`, 'none');
		}

		return outcome.right.refusal === null ? new Remote(this.#context, job, peer, transaction) : outcome.right;
	}
}

/** A transaction on a connection of another host. */
class Remote extends executor.Transaction {
	readonly #context: jobs.Context;
	readonly #peer: peers.Peer;
	readonly #number: number;
	#isFailed = false;
	#isLost = false;
	#isEnded = false;
	#hasWritten = false;

	constructor(context: jobs.Context, job: jobs.Job, peer: peers.Peer, number: number) {
		super(job);
		this.#context = context;
		this.#peer = peer;
		this.#number = number;
	}

	override get isFailed(): boolean {
		return this.#isFailed;
	}

	override get isLost(): boolean {
		return this.#isLost;
	}

	override async run(work: leases.Work, timeoutMs: number): Promise<statement.Reply> {
		this.#hasWritten ||= work.mode === 'write';
		const outcome = await this.#peer.ask({
			kind: 'statement', transaction: this.#number, values: [...this.job.state.values], work: describeWork(work), timeoutMs,
		}, timeoutMs);
		if (Either.isLeft(outcome)) {
			await this.#abandon(work.id, outcome.left);
			return statement.refuse('aborted', `the transaction was rolled back: ${outcome.left.message}`, 'failed');
		}

		const reply = outcome.right;
		this.#isFailed = reply.state !== 'open';
		this.#isLost = reply.refusal === 'aborted';
		return {...reply, state: this.state};
	}

	override async commit(id: string, text: string, timeoutMs: number): Promise<statement.Reply> {
		if (this.#isFailed && this.#isLost) {
			await this.rollback();
			return statement.refuse('aborted', 'the transaction was rolled back', 'none');
		}

		this.#isEnded = true;
		const outcome = await this.#peer.ask({
			kind: 'commit', transaction: this.#number, request: id, text, timeoutMs,
		}, timeoutMs);
		if (Either.isRight(outcome)) {
			return outcome.right;
		}

		await this.#abandon(id, outcome.left);
		return this.#hasWritten && outcome.left.kind !== 'not-run'
			? statement.refuse('in-doubt', `the reply to COMMIT was lost: ${outcome.left.message}`, 'none')
			: statement.refuse('aborted', `nothing was kept: ${outcome.left.message}`, 'none');
	}

	override async rollback(): Promise<void> {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#peer.tell({kind: 'rollback', transaction: this.#number});
		}
	}

	override async expire(reason: string): Promise<void> {
		this.#isFailed = true;
		this.#isLost = true;
		this.#context.decisions.request('transaction-ended', this.job.id, {service: this.job.route.service, peer: this.#peer.name, reason});
		await this.rollback();
	}

	/** The other host rolls back when it is told, or when it sees that the link is lost. */
	async #abandon(id: string, failure: errors.Failure): Promise<void> {
		this.#isFailed = true;
		this.#isLost = true;
		this.#context.decisions.request('forward-failed', id, {
			service: this.job.route.service, route: this.job.route.name, peer: this.#peer.name, reason: errors.describe(failure),
		});
		this.#peer.tell({kind: 'rollback', transaction: this.#number});
	}
}

function describeJob(context: jobs.Context, job: jobs.Job): types.ForwardedJob {
	return {
		id: job.id,
		route: job.route,
		own: job.own,
		values: [...job.state.values],
		remainingMs: jobs.left(context, job),
		spentMs: jobs.spent(context, job),
	};
}

function describeWork({id, mode, text, prepared, parameters}: leases.Work): types.ForwardedWork {
	return {
		id, mode, text: text ?? null, prepared: prepared ?? null, parameters,
	};
}
