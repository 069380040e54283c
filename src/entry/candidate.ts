/**
Servers that responded during a failover, with the status that they reported.
*/
import * as position from '../core/position.js';
import type * as member from './member.js';
import type * as statement from './statement.js';

/** A server and its status. */
export type Candidate = {readonly member: member.Member; readonly status: statement.ServerStatus};

/**
The server with the most advanced log; among equals, one that isn't leaving. `undefined` if there is none.

@example
```
const target = candidate.mostAdvanced(await orders.status(replicas));
```
*/
export function mostAdvanced(candidates: readonly Candidate[]): Candidate | undefined {
	return candidates.toSorted((one, other) =>
		position.compare(other.status.position, one.status.position) || Number(other.member.isReady) - Number(one.member.isReady))[0];
}
