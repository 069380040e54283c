/**
Jobs of a group: a statement outside a transaction, or the start of a transaction.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import type * as group from './group.js';
import type * as lease from './lease.js';
import type * as states from './state.js';
import * as statement from './statement.js';

/** Dependencies shared by all jobs of a host. */
export type Context = {
	readonly clock: clock.Clock;
	readonly place: string;
	readonly decisions: decisions.Decisions;
};

/** One job. */
export type Job = {
	readonly id: string;
	readonly route: types.Route;
	/** Name of the customer; `undefined` without customers and on public routes. */
	readonly customer: string | undefined;
	/** Whether the session's key was removed since. Absent at a host to which the job was forwarded, which knows no key. */
	readonly isRevoked?: () => boolean;
	readonly state: states.State;
	/** Position in the service's log that the session's reads have to include; null if it has no commit there. */
	readonly sessionPosition: statement.Position | null;
	readonly arrivedAt: clock.Mark;
	/** Monotonic time in ms by which the reply is due. */
	readonly deadline: number;
	/** Time that the request spent at another host before that host forwarded it; 0 if it came from a caller of this host. */
	readonly spentMs: number;
};

/** A job for a group to which this host has connections. */
export type GroupJob = Job & {readonly group: group.Group};

/** A job that executes one statement. */
export type StatementJob = GroupJob & {readonly work: lease.Work};

/** Minimum time for one attempt: a round trip between regions, the wait for an execution slot, and the execution. */
const minAttemptMs = 150;
/**
Fraction of a route's latency objective that a request may wait for a server that can run it. A longer wait costs the
caller more than an immediate refusal and a retry.
*/
const serverWaitRatio = 0.24;
/** Fraction of a route's latency objective that a request may wait for a connection. */
const connectionWaitRatio = 0.7;
/** Retry delay suggested to a refused caller: about the time that a change of primary still takes after the refusal. */
const retryAfterMs = 400;

/** Time since the caller's request arrived at the first host. */
export function elapsedMs(context: Context, {arrivedAt, spentMs}: Job): number {
	return spentMs + context.clock.now() - arrivedAt.monotonicMs;
}

/** Time until a job's deadline, at least 1 ms. */
export function remainingMs(context: Context, {deadline}: Job): number {
	return Math.max(1, deadline - context.clock.now());
}

/**
Whether there is time for another attempt. A refusal is better than a statement that passes its deadline while it runs,
since the caller then doesn't know its outcome.
*/
export function hasTime(context: Context, job: Job): boolean {
	return remainingMs(context, job) > minAttemptMs;
}

/** Time that a job may still wait for a server that can run it. */
export function serverWaitMs(context: Context, job: GroupJob): number {
	if (job.group.isBlockedByLimit) {
		return limitWaitMs(context, job);
	}

	const waitedMs = elapsedMs(context, job);
	// A host that has just started finds the leader within two round trips, so a longer wait pays off.
	const ratio = job.group.leaderEpoch === 0 ? connectionWaitRatio : serverWaitRatio;
	return Math.max(0, Math.min((job.route.targetMs * ratio) - waitedMs, remainingMs(context, job)));
}

/**
Time that a job may wait for a connection to a responsive server. Most waits end in time, as other jobs release their
connections.
*/
export function connectionWaitMs(context: Context, job: GroupJob): number {
	if (job.group.isBlockedByLimit || job.group.isStarting) {
		return limitWaitMs(context, job);
	}

	return Math.max(1, Math.min((job.route.targetMs * connectionWaitRatio) - elapsedMs(context, job), remainingMs(context, job)));
}

/** What a job needs a connection for: one statement, or a transaction, which holds it while the caller is idle. */
export type Purpose = 'statement' | 'transaction';

/** The customer and the order of a job's request for a connection. Without customers, requests wait in the order of arrival. */
export function connectionRequest({customer, route}: Job, purpose: Purpose): {customer: string | undefined; priority: number; isTransaction: boolean} {
	const hasCustomers = customer !== undefined || route.isPublic === true;
	return {customer, priority: hasCustomers ? route.priority : 0, isTransaction: hasCustomers && purpose === 'transaction'};
}

/** Time that a job may wait while connections are scarce after a start: the limits of the servers free up within seconds. */
function limitWaitMs(context: Context, job: Job): number {
	return Math.max(1, remainingMs(context, job) - minAttemptMs);
}

/** Refuses a job that has not run, with a retry delay in the message. */
export function refuse(context: Context, job: Job, reason: string, retryMs = retryAfterMs): statement.Reply {
	context.decisions.request('refused', job.id, {
		service: job.route.service,
		route: job.route.name,
		...(job.customer !== undefined && {customer: job.customer}),
		reason,
		waitedMs: Math.round(elapsedMs(context, job)),
	});
	return statement.refuse('busy', `not run: ${reason}; retry after ${Math.ceil(retryMs)} ms`, 'none');
}
