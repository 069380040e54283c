/**
Which hosts hold the connections to a service's servers.

In a small fleet whose servers' connection limits give each host a connection of its own, every host works on its own
connections. Otherwise a few hosts of each region do the work of the region: those with the most processor time, in places that have
a server of the service, spread over the services by rendezvous hashing.
*/
import type * as types from '../generated/types.js';
import * as ownership from '../core/ownership.js';

/** An entry host as the others know it. */
export type Host = {readonly name: string} & types.Announcement;

/** What the ranks of hosts rest on. */
export type View = {
	/** Every host that is known, this one included. */
	readonly hosts: readonly Host[];
	/** Region whose work is placed. */
	readonly region: string;
	readonly service: string;
	/** Places that have a server of the service. */
	readonly serverPlaces: ReadonlySet<string>;
	/** Connections that one server accepts. */
	readonly connectionLimit: number;
};

/** Hosts of a region that do the work in one service. With one, its end would leave the region without connections. */
export const ownerCount = 2;
/** Hosts up to which each may work directly: each asks the leader of every service several times a second. */
const mostDirectHosts = 24;
/** Part of a server's connection limit that hosts divide; the rest is for changes, when old and new hosts overlap. */
export const usualShare = 0.8;
/** Hosts with less than this part of the largest host's processor time do no work for others while such hosts are there. */
const leastCapacityShare = 0.5;

/** Whether each host has connections of its own to every server. */
export function isDirect({hosts, connectionLimit}: Pick<View, 'hosts' | 'connectionLimit'>): boolean {
	return hosts.length <= mostDirectHosts && connectionLimit * usualShare >= hosts.length;
}

/** Hosts that may do a service's work in all regions together. */
export function countOwners({hosts, connectionLimit}: Pick<View, 'hosts' | 'connectionLimit'>): number {
	const regions = new Map<string, number>();
	for (const {region} of hosts) {
		regions.set(region, (regions.get(region) ?? 0) + 1);
	}

	return isDirect({hosts, connectionLimit})
		? hosts.length
		: [...regions.values()].reduce((sum, count) => sum + Math.min(ownerCount, count), 0);
}

/**
The hosts of a region in the order in which they should do a service's work. The first `ownerCount` that answer do it.

@example
```
const [first, second] = placement.rank(view);
```
*/
export function rank({hosts, region, service, serverPlaces}: View): Host[] {
	const present = hosts.filter(host => host.region === region);
	const largest = Math.max(...present.map(({capacity}) => capacity));
	const byHash = ownership.rank(service, present);
	const isSmall = ({capacity}: Host): number => Number(capacity < largest * leastCapacityShare);
	const isRemote = ({place}: Host): number => Number(!serverPlaces.has(place));
	return byHash.toSorted((one, other) => isSmall(one) - isSmall(other) || isRemote(one) - isRemote(other));
}
