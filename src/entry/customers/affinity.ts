/**
Preference of reads for servers to which a customer has an open connection, since a new one takes 12 ms of one of the few
execution slots of a server.
*/
import type * as member from '../member.js';

/** Time that a new connection costs: 12 ms of a slot at the server, and two round trips to another place. */
const openingCostMs = 20;

/**
Time in ms that a request of a customer adds at a server because no connection is idle there. Without customers it is 0.

@example
```
const extraMs = affinity.openingMs(server, job.customer);
```
*/
export function openingMs({pool}: Pick<member.Member, 'pool'>, customer: string | undefined): number {
	return customer === undefined || pool.hasIdle(customer) ? 0 : openingCostMs;
}
