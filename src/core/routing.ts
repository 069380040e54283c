/**
Selection of the servers that may answer a read, and the order in which they are tried.
*/
import * as position from './position.js';
import type * as observer from './observer.js';

/** What a read requires of the data of a server. */
export type Need = {
	/** Position that the log must contain, if any. */
	readonly position: position.Position | null;
	/** Maximum age of the data in ms; `undefined` if only the position matters. */
	readonly maximumAgeMs: number | undefined;
};

/** A server and what is known about it when a read is routed. */
export type Candidate = {
	readonly name: string;
	readonly place: string;
	readonly isPrimary: boolean;
	readonly isLeaving: boolean;
	/** Relation of its last observed log to the position that the read requires. */
	readonly relation: position.Relation;
	/** Upper bound of the age of its data: time in ms since the newest read index that its log contains was requested. */
	readonly ageMs: number;
	/** Connections in use and requests waiting for one. */
	readonly load: number;
};

/** Chooses the servers for a read. */
export abstract class Policy {
	/** Replicas to try, best first. The primary is not included, since using it requires a confirmed read index. */
	abstract replicas(candidates: readonly Candidate[], need: Need, place: string): readonly string[];

	/** The replica to wait for when none is eligible: one that should reach the position in about `maxWaitMs`, if any. */
	abstract replicaToAwait(candidates: readonly Candidate[], place: string, maxWaitMs: number): string | undefined;
}

/** Sends every read to the primary. */
export class Primary extends Policy {
	override replicas(): readonly string[] {
		return [];
	}

	override replicaToAwait(): undefined {
		return undefined;
	}
}

/** Chooses replicas that contain the position and are fresh enough; those in the same place first, then by load. */
export class Fresh extends Policy {
	readonly #expectedServiceMs: number;

	/** `expectedServiceMs`: expected duration of a read, by which the data ages before the answer arrives. */
	constructor(expectedServiceMs: number) {
		super();
		this.#expectedServiceMs = expectedServiceMs;
	}

	override replicas(candidates: readonly Candidate[], need: Need, place: string): readonly string[] {
		return candidates
			.filter(candidate => !candidate.isPrimary && !candidate.isLeaving && this.#isEligible(candidate, need))
			.toSorted((left, right) => distance(left, place) - distance(right, place) || left.load - right.load)
			.map(({name}) => name);
	}

	override replicaToAwait(candidates: readonly Candidate[], place: string, maxWaitMs: number): string | undefined {
		return candidates
			.filter(({isPrimary, isLeaving, relation, ageMs}) => !isPrimary && !isLeaving && relation === 'behind' && ageMs <= maxWaitMs)
			.toSorted((left, right) => distance(left, place) - distance(right, place) || left.ageMs - right.ageMs)[0]?.name;
	}

	#isEligible(candidate: Candidate, need: Need): boolean {
		const hasPosition = need.position === null || candidate.relation === 'contains';
		const isFresh = need.maximumAgeMs === undefined || candidate.ageMs + this.#expectedServiceMs <= need.maximumAgeMs;
		return hasPosition && isFresh;
	}
}

function distance(candidate: Candidate, place: string): number {
	return candidate.place === place ? 0 : 1;
}

/**
The observed servers of a group as candidates for a read with this need.

@example
```
const candidates = routing.listCandidates(group, {position: null, maximumAgeMs: 2000}, () => 0);
```
*/
export function listCandidates(group: observer.Group, need: Need, load: (server: string) => number): Candidate[] {
	const primary = group.primary?.status.server;
	return [...group.servers.values()].flatMap(({name, place, latest}) => latest
		? [{
			name,
			place,
			isPrimary: name === primary,
			isLeaving: latest.status.leaving,
			relation: need.position ? position.relate(latest.status, need.position) : 'contains' as const,
			ageMs: group.ageMs(name),
			load: load(name),
		}]
		: []);
}
