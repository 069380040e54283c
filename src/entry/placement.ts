/**
Which hosts hold the connections to a service's servers.

In a small fleet whose servers accept at least one connection from each host, every host uses its own connections.
Otherwise a few owners in each region run the region's work. Hosts with more processor time come first, then hosts in
places that have a server of the service; rendezvous hashing spreads the services over equal hosts.
*/
import type * as types from '../generated/types.js';
import * as ownership from '../core/ownership.js';

/** An entry host with its announcement. */
export type Host = {readonly name: string} & types.Announcement;

/** Input of the ranking. */
export type View = {
	/** All known hosts, including this one. */
	readonly hosts: readonly Host[];
	/** Region whose owners are chosen. */
	readonly region: string;
	readonly service: string;
	/** Places that have a server of the service. */
	readonly serverPlaces: ReadonlySet<string>;
	/** Connections that one server accepts. */
	readonly connectionLimit: number;
};

/** Owners of a service in each region. With only one, its failure would leave the region without connections. */
export const ownersPerRegion = 2;
/** Largest fleet in which each host uses its own connections. It is bounded because each such host polls the leader of every service several times a second. */
const maxDirectHosts = 24;
/** Fraction of a server's connection limit divided among the owners. The rest is reserved for changes, when old and new owners overlap. */
export const quotaFraction = 0.8;
/** Hosts with less than this fraction of the largest capacity in the region rank last, so they own work only if no larger host is reachable. */
const minCapacityRatio = 0.5;

/** Whether each host uses its own connections to every server. */
export function isDirect({hosts, connectionLimit}: Pick<View, 'hosts' | 'connectionLimit'>): boolean {
	return hosts.length <= maxDirectHosts && connectionLimit * quotaFraction >= hosts.length;
}

/** Number of owners of a service over all regions. */
export function countOwners({hosts, connectionLimit}: Pick<View, 'hosts' | 'connectionLimit'>): number {
	const regions = new Map<string, number>();
	for (const {region} of hosts) {
		regions.set(region, (regions.get(region) ?? 0) + 1);
	}

	return isDirect({hosts, connectionLimit})
		? hosts.length
		: [...regions.values()].reduce((sum, count) => sum + Math.min(ownersPerRegion, count), 0);
}

/**
Ranks the hosts of a region as owners of a service. The first `ownersPerRegion` reachable ones are the owners.

@example
```
const [first, second] = placement.rank(view);
```
*/
export function rank({hosts, region, service, serverPlaces}: View): Host[] {
	const candidates = hosts.filter(host => host.region === region);
	const maxCapacity = Math.max(...candidates.map(({capacity}) => capacity));
	const byHash = ownership.rank(service, candidates);
	const isSmall = ({capacity}: Host): number => Number(capacity < maxCapacity * minCapacityRatio);
	const isRemote = ({place}: Host): number => Number(!serverPlaces.has(place));
	return byHash.toSorted((one, other) => isSmall(one) - isSmall(other) || isRemote(one) - isRemote(other));
}
