/**
Assigns groups to entry hosts by rendezvous hashing, so that a change of the hosts moves few groups.
*/
import * as xxhash from 'xxhash-wasm';

/** The properties of an entry host on which ownership depends. */
export type Member = {
	readonly name: string;
	readonly place: string;
	/** Address for links, IP:port. */
	readonly address: string;
	readonly isLeaving: boolean;
};

/** Number of owners of a group. Connection quotas are calculated from it. */
export const ownerCount = 3;

const hashing = await xxhash.default();

/**
Orders hosts by their rank for a key, highest first.

@example
```
const neighbours = ownership.rank('entry-1', others).slice(0, 4);
```
*/
export function rank<H extends {readonly name: string}>(key: string, hosts: readonly H[]): H[] {
	return hosts
		.map(host => ({host, score: hashing.h32(`${key}/${host.name}`)}))
		.toSorted((left, right) => right.score - left.score || (left.host.name < right.host.name ? -1 : 1))
		.map(({host}) => host);
}

/** A hash of a text, an unsigned integer of 32 bits. */
export function digest(text: string): number {
	return hashing.h32(text);
}

/**
Returns the three owners of a group in the order of rank: the highest-ranked host of each place. With fewer than three
places the next hosts in rank follow, so that a group still has more than one owner if all hosts are in one place.

@example
```
const [first] = ownership.owners('ledgers', hosts);
```
*/
export function owners(group: string, hosts: readonly Member[]): Member[] {
	const ranked = rank(group, hosts);
	const places = new Set<string>();
	const topPerPlace = ranked.filter(({place}) => {
		const isFirst = !places.has(place);
		places.add(place);
		return isFirst;
	});
	const remaining = ranked.filter(host => !topPerPlace.includes(host));
	return [...topPerPlace, ...remaining].slice(0, ownerCount);
}

/** Caches the owners of each group for one view of the hosts. */
export class Table {
	readonly #owners = new Map<string, readonly Member[]>();
	#hosts: readonly Member[] = [];
	#fingerprint = '';

	/** Applies a view of the hosts. Returns whether it differs from the previous one. */
	update(hosts: readonly Member[]): boolean {
		const fingerprint = hosts.map(({name, place, address, isLeaving}) => `${name} ${place} ${address} ${isLeaving}`).toSorted().join('\n');
		if (fingerprint === this.#fingerprint) {
			return false;
		}

		this.#fingerprint = fingerprint;
		this.#hosts = hosts;
		this.#owners.clear();
		return true;
	}

	/** The owners of a group, in the order of rank. */
	owners(group: string): readonly Member[] {
		const found = this.#owners.get(group) ?? owners(group, this.#hosts);
		this.#owners.set(group, found);
		return found;
	}

	/** The highest-ranked host that is not an owner. */
	next(group: string): Member | undefined {
		const current = this.owners(group);
		return rank(group, this.#hosts).find(host => !current.includes(host));
	}
}
