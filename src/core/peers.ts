/**
Abstract interface to the other owners of a group. `src/peer` implements it over links; tests use fakes.
*/

/** Response of another owner to the query whether it also suspects a server. */
export type Vote = {readonly host: string; readonly place: string; readonly isSuspected: boolean};

/** The other owners of the groups that this host owns. */
export abstract class Peers {
	/** Queries the other owners of `group` about its primary. Returns a vote of each owner that responds in time. */
	abstract corroborate(group: string, term: number, server: string, timeoutMs: number): Promise<readonly Vote[]>;

	/** Notifies the other owners of a new primary. Best effort. */
	abstract announce(group: string, term: number, server: string): void;
}
