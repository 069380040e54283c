/**
Which hosts count a customer: a small set, spread over the places, chosen by rendezvous hashing among the announced hosts.
*/
import type * as types from '../../../generated/types.js';
import * as ownership from '../../../core/ownership.js';

/** An announced entry host. */
export type Host = {readonly name: string} & types.Announcement;

/** Hosts with less than this fraction of the largest capacity in their place rank last, as with owners of connections. */
const minCapacityRatio = 0.5;
/** How far another host is, as messages to it are delayed and billed. */
export type Distance = 'same host' | 'same place' | 'same region' | 'other region';

/** The distances, nearest first. */
export const distances: readonly Distance[] = ['same host', 'same place', 'same region', 'other region'];

/** A view of the announced hosts, with the counters of each customer. */
export class View {
	readonly hosts: readonly Host[];
	/** Equal for equal views; an integer that fits a message. */
	readonly digest: number;
	readonly #places: ReadonlyMap<string, readonly Host[]>;
	readonly #counters = new Map<string, readonly string[]>();

	constructor(hosts: readonly Host[]) {
		this.hosts = hosts.toSorted((one, other) => one.name < other.name ? -1 : 1);
		this.digest = ownership.digest(this.hosts.map(({name, place, capacity}) => `${name}/${place}/${capacity}`).join('\n'));
		const places = new Map<string, Host[]>();
		for (const host of this.hosts) {
			places.set(host.place, [...places.get(host.place) ?? [], host]);
		}

		this.#places = places;
	}

	/** Names of the first `count` counters of a customer: the first in rank of each place, then the second ones, and so on. */
	counters(customer: string, count: number): readonly string[] {
		const key = `${count} ${customer}`;
		const found = this.#counters.get(key) ?? this.#rank(customer, count);
		this.#counters.set(key, found);
		return found;
	}

	#rank(customer: string, count: number): readonly string[] {
		const places = ownership.rank(customer, [...this.#places.keys()].map(name => ({name})));
		const ranked = places.map(({name}) => rankPlace(customer, this.#places.get(name) ?? []));
		const rounds = Math.max(0, ...ranked.map(({length}) => length));
		return Array.from({length: rounds}, (_, round) => ranked.flatMap(hosts => hosts.slice(round, round + 1))).flat().slice(0, count).map(({name}) => name);
	}
}

/** The distance between two hosts. */
export function distance(one: Host, other: Host): Distance {
	if (one.name === other.name) {
		return 'same host';
	}

	if (one.place === other.place) {
		return 'same place';
	}

	return one.region === other.region ? 'same region' : 'other region';
}

function rankPlace(customer: string, hosts: readonly Host[]): Host[] {
	const maxCapacity = Math.max(...hosts.map(({capacity}) => capacity));
	const isSmall = ({capacity}: Host): number => Number(capacity < maxCapacity * minCapacityRatio);
	return ownership.rank(customer, hosts).toSorted((one, other) => isSmall(one) - isSmall(other));
}
