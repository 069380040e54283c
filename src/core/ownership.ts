/**
Which entry hosts own a group: rendezvous hashing, so that a change of the hosts moves few groups.
*/
import * as xxhash from 'xxhash-wasm';

/** An entry host as ownership sees it. */
export type Member = {
	readonly name: string;
	readonly place: string;
	/** Address for links, IP:port. */
	readonly address: string;
	readonly isLeaving: boolean;
};

/** Owners of a group. Shares of connections rest on this number. */
export const ownerCount = 3;

const hashing = await xxhash.default();

/**
Hosts by their rank for a key, the highest first.

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

/**
The owners of a group in the order of their rank: the best host of each place, three in total. With fewer than three
places the next hosts in rank follow, so that a group with one place still has more than one owner.

@example
```
const [first] = ownership.owners('ledgers', hosts);
```
*/
export function owners(group: string, hosts: readonly Member[]): Member[] {
	const ranked = rank(group, hosts);
	const places = new Set<string>();
	const best = ranked.filter(({place}) => {
		const isFirst = !places.has(place);
		places.add(place);
		return isFirst;
	});
	const others = ranked.filter(host => !best.includes(host));
	return [...best, ...others].slice(0, ownerCount);
}

/** The owners of each group in one view of the hosts. */
export class Table {
	readonly #owners = new Map<string, readonly Member[]>();
	#hosts: readonly Member[] = [];
	#fingerprint = '';

	/** Takes a view; tells whether it differs from the last one. */
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

	/** The owners of a group, by rank. */
	owners(group: string): readonly Member[] {
		const found = this.#owners.get(group) ?? owners(group, this.#hosts);
		this.#owners.set(group, found);
		return found;
	}

	/** The host that comes after the owners in rank. */
	next(group: string): Member | undefined {
		const present = this.owners(group);
		return rank(group, this.#hosts).find(host => !present.includes(host));
	}
}
