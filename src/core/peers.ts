/**
The other owners of a group, as an interface. `src/peer` implements it over links; tests use fakes.
*/

/** What one owner said about a server that this host suspects. */
export type Opinion = {readonly host: string; readonly place: string; readonly isSuspected: boolean};

/** The other owners of the groups that this host owns. */
export abstract class Peers {
	/** Asks the other owners of `group` about its primary; one opinion for each owner that answers in time. */
	abstract corroborate(group: string, term: number, server: string, timeoutMs: number): Promise<readonly Opinion[]>;

	/** Tells the other owners which server became primary. Best effort. */
	abstract announce(group: string, term: number, server: string): void;
}

/** No other owners, for a host that runs alone. */
export class Alone extends Peers {
	override async corroborate(): Promise<readonly Opinion[]> {
		return [];
	}

	override announce(): void {
		// Nobody to tell.
	}
}
