/**
Connections to the leader of a group, for everything that only the leader may execute.

After a power loss of all hosts, servers count the lost connections for several seconds and refuse new ones at their limit
(a connection storm). Requests then wait for the limit until their deadline, since each refusal would use up one of the
few attempts that a caller has.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import * as jobs from './job.js';
import * as leases from './lease.js';

/** Delay between attempts while servers refuse connections at their limit. */
const retryDelayMs = 10;

/**
Leases a connection to the leader.

Failures: `not-run` if no leader or no connection was found in the time that the job may wait.

@example
```
const lease = await leaders.acquire(context, job);
```
*/
export async function acquire(context: jobs.Context, job: jobs.GroupJob, purpose: jobs.Purpose = 'statement'): Promise<errors.Outcome<leases.Lease>> {
	for (;;) {
		const outcome = await attempt(context, job, purpose);
		if (Either.isRight(outcome) || !job.group.isBlockedByLimit || !jobs.hasTime(context, job)) {
			return outcome;
		}

		await context.clock.sleep(retryDelayMs);
	}
}

async function attempt(context: jobs.Context, job: jobs.GroupJob, purpose: jobs.Purpose): Promise<errors.Outcome<leases.Lease>> {
	const leader = await job.group.awaitLeader(jobs.serverWaitMs(context, job));
	return leader
		? leases.acquire(leader, job.state, context.clock, {...jobs.connectionRequest(job, purpose), timeoutMs: jobs.connectionWaitMs(context, job), atLimit: 'wait'})
		: errors.fail('not-run', 'route', job.group.name, 'no leader is known');
}
