/**
Preference of reads for servers to which a customer has an open connection, since a new one takes 12 ms of one of the few
execution slots of a server.
*/
import type * as member from '../member.js';

/** Time that a new connection costs: 12 ms of a slot at the server, and two round trips to another place. */
export const connectionCostMs = 20;

/**
Moves the first server with an idle connection of the customer to the front of a list in the order of preference, if
`isEquivalent` accepts it in place of the first one. Without customers the order stays.

@example
```
const ordered = affinity.prefer(servers, job.customer, (server, first) => cost(server) - cost(first) <= affinity.connectionCostMs);
```
*/
export function prefer(servers: readonly member.Member[], customer: string | undefined, isEquivalent: (server: member.Member, first: member.Member) => boolean): member.Member[] {
	const [first] = servers;
	const preferred = customer === undefined || !first
		? undefined
		: servers.find(server => isEquivalent(server, first) && server.pool.hasIdle(customer));
	return preferred ? [preferred, ...servers.filter(server => server !== preferred)] : [...servers];
}
