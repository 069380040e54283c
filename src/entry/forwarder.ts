/**
Forwards statements and transactions to other hosts if this host is not an owner of the service's connections.

A request that was not written, or that another host refused without running it, goes to the next host. If a reply is
lost, a read may be sent to another host; a write is in doubt and is not sent again.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from '../core/errors.js';
import * as executor from './executor.js';
import * as jobs from './job.js';
import type * as leases from './lease.js';
import type * as peers from './peer.js';
import * as statement from './statement.js';

/** The hosts that serve a service, in order of preference; `local` is this host. */
export type Route = readonly Target[];
type Target = peers.Peer | 'local';
/** Where work has to run: at the leader of its service, or at any server that qualifies. */
export type Destination = 'leader' | 'any';
/** Finds the hosts for the work of a customer; without customers, `customer` is `undefined`. */
type Routing = (service: string, customer: string | undefined, destination: Destination) => Route;
type Attempt = {readonly target: Target; readonly reply: statement.Reply | undefined; readonly mayHaveRun: boolean};

/** Delay after which a read without a reply is sent to another host as well. It is longer than a slow reply of a backend server takes. */
const hedgeDelayMs = 400;
/** Wait beyond a job's deadline for an attempt that times out at the deadline, so that its own reply is returned. */
const lateReplyMs = 50;

/** An executor that forwards jobs to other hosts or runs them on this one. */
export class Forwarder extends executor.Executor {
	readonly #context: jobs.Context;
	readonly #local: executor.Executor;
	readonly #route: Routing;
	#lastTransactionId = 0;

	constructor(context: jobs.Context, local: executor.Executor, route: Routing) {
		super();
		this.#context = context;
		this.#local = local;
		this.#route = route;
	}

	override prepare(service: string, customer?: string): void {
		for (const target of new Set([...this.#route(service, customer, 'any'), ...this.#route(service, customer, 'leader')])) {
			if (target === 'local') {
				this.#local.prepare(service, customer);
			} else {
				target.connect();
			}
		}
	}

	override async run(job: jobs.Job, work: leases.Work): Promise<statement.Reply> {
		const untried = [...this.#route(job.route.service, job.customer, destinationOf(job, work.mode))];
		const running = new Map<Target, Promise<Attempt>>();
		let refused: statement.Reply | undefined;
		let mayHaveRun = false;
		while (untried.length > 0 || running.size > 0) {
			if (job.isRevoked?.()) {
				untried.length = 0;
			}

			const next = refused && !jobs.hasTime(this.#context, job) ? undefined : untried.shift();
			if (next) {
				running.set(next, this.#attempt(next, job, work));
			} else if (running.size === 0) {
				break;
			}

			const mayHedge = work.mode === 'read' && untried.length > 0;
			const result = await this.#context.clock.limit(Promise.race(running.values()), mayHedge ? hedgeDelayMs : jobs.remainingMs(this.#context, job) + lateReplyMs);
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
		let refused: statement.Reply | undefined;
		for (const target of this.#route(job.route.service, job.customer, destinationOf(job, mode))) {
			if (refused && (!jobs.hasTime(this.#context, job) || job.isRevoked?.())) {
				break;
			}

			const opened = target === 'local' ? await this.#local.begin(job, mode) : await this.#beginAtPeer(target, job, mode);
			if (opened instanceof executor.Transaction) {
				return opened;
			}

			refused = opened;
		}

		return refused ?? jobs.refuse(this.#context, job, 'no host with connections to the servers could be reached');
	}

	async #attempt(target: Target, job: jobs.Job, work: leases.Work): Promise<Attempt> {
		return target === 'local'
			? {target, reply: await this.#local.run(job, work), mayHaveRun: false}
			: this.#forward(target, job, work);
	}

	/** Sends a statement to another host. A result without a reply allows an attempt at a further host. */
	async #forward(target: peers.Peer, job: jobs.Job, work: leases.Work): Promise<Attempt> {
		const outcome = await target.request({kind: 'run', job: toForwardedJob(this.#context, job), work: toForwardedWork(work)}, jobs.remainingMs(this.#context, job));
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

	async #beginAtPeer(peer: peers.Peer, job: jobs.Job, mode: types.AccessMode): Promise<executor.Transaction | statement.Reply> {
		this.#lastTransactionId++;
		const transaction = this.#lastTransactionId;
		const outcome = await peer.request({
			kind: 'begin', transaction, mode, job: toForwardedJob(this.#context, job),
		}, jobs.remainingMs(this.#context, job));
		if (Either.isLeft(outcome)) {
			this.#context.decisions.request('forward-failed', job.id, {
				service: job.route.service, route: job.route.name, peer: peer.name, reason: errors.describe(outcome.left),
			});
			peer.notify({kind: 'rollback', transaction});
			return statement.refuse('busy', `not run: ${outcome.left.message}`, 'none');
		}

		return outcome.right.refusal === null ? new Remote(this.#context, job, peer, transaction) : outcome.right;
	}
}

/** A transaction on another host's server connection. */
class Remote extends executor.Transaction {
	readonly #context: jobs.Context;
	readonly #peer: peers.Peer;
	readonly #id: number;
	#isFailed = false;
	#isLost = false;
	#isEnded = false;
	#hasWritten = false;

	constructor(context: jobs.Context, job: jobs.Job, peer: peers.Peer, id: number) {
		super(job);
		this.#context = context;
		this.#peer = peer;
		this.#id = id;
	}

	override get isFailed(): boolean {
		return this.#isFailed;
	}

	override get isLost(): boolean {
		return this.#isLost;
	}

	override get hasChanges(): boolean {
		return this.#hasWritten && !this.#isFailed;
	}

	override async run(work: leases.Work, timeoutMs: number): Promise<statement.Reply> {
		this.#hasWritten ||= work.mode === 'write';
		const outcome = await this.#peer.request({
			kind: 'statement', transaction: this.#id, values: [...this.job.state.values], work: toForwardedWork(work), timeoutMs,
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
		const outcome = await this.#peer.request({
			kind: 'commit', transaction: this.#id, request: id, text, timeoutMs,
		}, timeoutMs);
		if (Either.isRight(outcome)) {
			return outcome.right;
		}

		await this.#abandon(id, outcome.left);
		return this.#hasWritten && outcome.left.kind !== 'not-run'
			? statement.refuse('in-doubt', `the reply to COMMIT was lost: ${outcome.left.message}`, 'none')
			: statement.refuse('aborted', `the transaction was not committed: ${outcome.left.message}`, 'none');
	}

	override async rollback(): Promise<void> {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#peer.notify({kind: 'rollback', transaction: this.#id});
		}
	}

	override async abort(reason: string): Promise<void> {
		this.#isFailed = true;
		this.#isLost = true;
		this.#context.decisions.request('transaction-ended', this.job.id, {service: this.job.route.service, peer: this.#peer.name, reason});
		await this.rollback();
	}

	/** Marks the transaction as lost. The other host rolls it back when notified, or when it detects that the link is lost. */
	async #abandon(id: string, failure: errors.Failure): Promise<void> {
		this.#isFailed = true;
		this.#isLost = true;
		this.#context.decisions.request('forward-failed', id, {
			service: this.job.route.service, route: this.job.route.name, peer: this.#peer.name, reason: errors.describe(failure),
		});
		this.#peer.notify({kind: 'rollback', transaction: this.#id});
	}
}

function destinationOf({route}: jobs.Job, mode: types.AccessMode): Destination {
	return mode === 'write' || route.kind === 'primary' ? 'leader' : 'any';
}

function toForwardedJob(context: jobs.Context, job: jobs.Job): types.ForwardedJob {
	return {
		id: job.id,
		route: job.route,
		own: job.sessionPosition,
		values: [...job.state.values],
		remainingMs: jobs.remainingMs(context, job),
		spentMs: jobs.elapsedMs(context, job),
		...(job.customer !== undefined && {customer: job.customer}),
	};
}

function toForwardedWork({id, mode, text, prepared, parameters}: leases.Work): types.ForwardedWork {
	return {
		id, mode, text: text ?? null, prepared: prepared ?? null, parameters,
	};
}
