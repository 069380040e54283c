/**
One piece of work for a group: a statement outside a transaction, or the opening of one.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import type * as group from './group.js';
import type * as lease from './lease.js';
import type * as states from './state.js';
import * as statement from './statement.js';

/** What all work of a host shares. */
export type Context = {
	readonly clock: clock.Clock;
	readonly place: string;
	readonly decisions: decisions.Decisions;
};

/** One piece of work. */
export type Job = {
	readonly id: string;
	readonly route: types.Route;
	readonly state: states.State;
	/** End of the log after the session's last commit in the service; null if it made none. */
	readonly own: statement.Position | null;
	readonly arrivedAt: clock.Mark;
	/** Time of the clock by which it must have been answered. */
	readonly deadline: number;
	/** Time in ms since the request arrived at another host, if this one works for it. */
	readonly spentMs: number;
};

/** A job for a group that this host has connections to. */
export type Placed = Job & {readonly group: group.Group};

/** A job that runs one statement. */
export type Run = Placed & {readonly work: lease.Work};

/** Time in ms that an attempt needs: a round trip between regions, the wait for a slot and the work. */
const leastAttemptMs = 150;
/**
Share of a route's latency objective for which a request may wait for a server that can run it. A request that is held
for longer costs its caller more than one that is refused at once and comes back.
*/
const waitShare = 0.24;
/** Share of a route's latency objective for which a request may wait for a connection. */
const queueShare = 0.7;
/** When a refused caller is told to come back, in ms: about the rest of a change of primary. */
const comeBackMs = 400;

/** Time in ms since the caller's request arrived. */
export function spent(context: Context, {arrivedAt, spentMs}: Job): number {
	return spentMs + context.clock.now() - arrivedAt.monotonicMs;
}

/** Time in ms that is left to a job. */
export function left(context: Context, {deadline}: Job): number {
	return Math.max(1, deadline - context.clock.now());
}

/**
Whether there is time for another attempt. A statement that is cut off by its deadline leaves its caller in doubt, which is
worse than a refusal.
*/
export function hasTime(context: Context, job: Job): boolean {
	return left(context, job) > leastAttemptMs;
}

/** Time in ms that a job may still wait for a server that can run it. */
export function patience(context: Context, job: Placed): number {
	const spentMs = spent(context, job);
	// A host that has just started finds the leader within two round trips.
	const share = job.group.reign === 0 ? queueShare : waitShare;
	return Math.max(0, Math.min((job.route.targetMs * share) - spentMs, left(context, job)));
}

/**
Time in ms that a job may wait for a connection to a server that answers. The wait most often ends in time, since others
give theirs back.
*/
export function queueTime(context: Context, job: Job): number {
	return Math.max(1, Math.min((job.route.targetMs * queueShare) - spent(context, job), left(context, job)));
}

/** Refuses a job that has not run, and says when to come back. */
export function refuse(context: Context, job: Job, reason: string): statement.Reply {
	context.decisions.request('refused', job.id, {
		service: job.route.service,
		route: job.route.name,
		reason,
		waitedMs: Math.round(spent(context, job)),
	});
	return statement.refuse('busy', `not run: ${reason}; retry after ${comeBackMs} ms`, 'none');
}
