/**
Commits that a server has acknowledged, and whether they may be confirmed to their callers.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import type * as groups from '../group.js';
import type * as member from '../member.js';
import type * as statement from '../statement.js';

/** A write or COMMIT that a server has acknowledged. */
export type Commit = {
	readonly server: member.Member;
	readonly sentAt: clock.Mark;
	/** End of the server's log that was known before the commit was sent. */
	readonly before: statement.Position | undefined;
	/** End of the server's log in its reply; null if the reply carries none. */
	readonly logEnd: statement.Position | null;
};

/**
Waits up to `timeoutMs` until a commit may be confirmed to its caller.

Failures: `outcome-unknown` if the next leader may lack the commit, or if its position isn't known, so that no later read
could require it.

@example
```
const confirmed = await commits.confirm(job.group, {server: lease.member, sentAt, before, logEnd: reply.position}, 500);
```
*/
export async function confirm(group: groups.Group, {server, sentAt, before, logEnd}: Commit, timeoutMs: number): Promise<errors.Outcome<void>> {
	if (!logEnd) {
		return errors.fail('outcome-unknown', 'receive', server.id, 'the reply carries no position');
	}

	group.confirmLeader(server, sentAt, logEnd);
	if (!await group.confirmations.confirm({server: server.id, logEnd}, timeoutMs)) {
		return errors.fail('outcome-unknown', 'receive', server.id, group.confirmations.reason);
	}

	group.acknowledge(before, logEnd);
	return Either.right(undefined);
}
