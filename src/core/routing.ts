/**
Which servers may answer a read, and in which order they are tried.
*/
import * as position from './position.js';
import type * as observer from './observer.js';

/** What a read needs. */
export type Need = {
	/** Position that the data must contain, if any. */
	readonly position: position.Position | null;
	/** Accepted age in ms; `undefined` when the position alone decides. */
	readonly maximumAgeMs: number | undefined;
};

/** What is known about a server when a read is routed. */
export type Candidate = {
	readonly name: string;
	readonly place: string;
	readonly isPrimary: boolean;
	readonly isLeaving: boolean;
	/** How its last observed log stands to the position that the read needs. */
	readonly relation: position.Relation;
	/** Age of its data in ms, with the uncertainty of the observation included. */
	readonly ageMs: number;
	/** Connections in use and requests waiting for one. */
	readonly load: number;
};

/** Chooses among the servers of a group. */
export abstract class Policy {
	/** Servers to try, best first. The primary, whose answer the caller of this function confirms, is not among them. */
	abstract replicas(candidates: readonly Candidate[], need: Need, place: string): readonly string[];

	/** The replica to wait for when none is qualified, if one will hold the position within about `limitMs`. */
	abstract awaited(candidates: readonly Candidate[], place: string, limitMs: number): string | undefined;
}

/** Everything at the primary. */
export class Primary extends Policy {
	override replicas(): readonly string[] {
		return [];
	}

	override awaited(): undefined {
		return undefined;
	}
}

/** Every replica whose log contains the position and whose data is young enough, the nearest and least loaded first. */
export class Fresh extends Policy {
	readonly #serviceMs: number;

	/** `serviceMs`: time that an answer is expected to take, by which the data will be older. */
	constructor(serviceMs: number) {
		super();
		this.#serviceMs = serviceMs;
	}

	override replicas(candidates: readonly Candidate[], need: Need, place: string): readonly string[] {
		return candidates
			.filter(candidate => !candidate.isPrimary && !candidate.isLeaving && this.#isQualified(candidate, need))
			.toSorted((left, right) => distance(left, place) - distance(right, place) || left.load - right.load)
			.map(({name}) => name);
	}

	override awaited(candidates: readonly Candidate[], place: string, limitMs: number): string | undefined {
		return candidates
			.filter(({isPrimary, isLeaving, relation, ageMs}) => !isPrimary && !isLeaving && relation === 'behind' && ageMs <= limitMs)
			.toSorted((left, right) => distance(left, place) - distance(right, place) || left.ageMs - right.ageMs)[0]?.name;
	}

	#isQualified(candidate: Candidate, need: Need): boolean {
		const isContaining = need.position === null || candidate.relation === 'contains';
		const isYoung = need.maximumAgeMs === undefined || candidate.ageMs + this.#serviceMs <= need.maximumAgeMs;
		return isContaining && isYoung;
	}
}

function distance(candidate: Candidate, place: string): number {
	return candidate.place === place ? 0 : 1;
}

/**
How each server of a group stands to a need.

@example
```
const candidates = routing.survey(group, {position: null, maximumAgeMs: 2000}, () => 0);
```
*/
export function survey(group: observer.Group, need: Need, load: (server: string) => number): Candidate[] {
	const primary = group.primary?.status.server;
	return [...group.servers.values()].flatMap(({name, place, latest}) => latest
		? [{
			name,
			place,
			isPrimary: name === primary,
			isLeaving: latest.status.leaving,
			relation: need.position ? position.relate(latest.status, need.position) : 'contains' as const,
			ageMs: group.age(name),
			load: load(name),
		}]
		: []);
}
