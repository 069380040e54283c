/**
Servers of one group that are gone or have lost their logs: what a failover has to know before it takes the remaining logs for
complete.
*/
import type * as completeness from '../completeness.js';
import type * as member from '../member.js';

/** Records losses. While no leader is known, any server may have led last. */
export class Losses {
	/** Ids of servers that were removed though they had not announced that they leave. */
	readonly #absent = new Set<string>();
	/** Servers that were removed since a leader last responded, by id: one of them may have led last. */
	readonly #departures = new Map<string, completeness.Departure & {readonly removedAt: number}>();
	/** Id of a removed server that led, or may have; `undefined` once it or another leader is back. */
	#removedLeader: string | undefined;
	/** Ids of servers that led, or may have, and whose logs were lost: their commits may be in the log of the next leader only. */
	readonly #leaderLogs = new Set<string>();

	/** Whether the server that led last, or may have, was removed. */
	get hasRemovedLeader(): boolean {
		return this.#removedLeader !== undefined;
	}

	/** Ids of servers that disappeared without leaving. They may return with their logs and replicate again. */
	get absent(): readonly string[] {
		return [...this.#absent];
	}

	/** Servers that are not registered any more and that may have been the last leader. */
	get departures(): readonly completeness.Departure[] {
		return [...this.#departures.values()];
	}

	/** Records that a server is registered. */
	recordArrival(id: string): void {
		this.#absent.delete(id);
		this.#departures.delete(id);
		this.#removedLeader = this.#removedLeader === id ? undefined : this.#removedLeader;
	}

	/** Records that a server whose registration is missing was removed at clock time `removedAt`. */
	recordRemoval(server: member.Member, removedAt: number): void {
		this.#departures.set(server.id, {
			id: server.id, address: server.registration.address, isPlanned: !server.isReady, position: server.position, removedAt,
		});
		if (server.isReady) {
			this.#absent.add(server.id);
		}
	}

	/** Records that the removed server led, or may have. */
	recordRemovedLeader(id: string): void {
		this.#removedLeader = id;
		this.recordLeaderLog(id);
	}

	/** Records that a server that led, or may have, has lost its log. */
	recordLeaderLog(id: string): void {
		this.#leaderLogs.add(id);
	}

	/** Records a reply of a leader to a request that was sent at clock time `sentAt`: servers that were removed before didn't lead last. */
	recordResponse(sentAt: number): void {
		for (const {id, removedAt} of this.#departures.values()) {
			if (sentAt > removedAt) {
				this.#departures.delete(id);
			}
		}
	}

	/**
	Records that a server leads. Returns whether the log of an earlier leader was lost since, so that the others have to be
	compared with this one; a leader that comes back as leader has its log.
	*/
	recordLeader(id: string): boolean {
		this.#removedLeader = undefined;
		this.#leaderLogs.delete(id);
		const wasLost = this.#leaderLogs.size > 0;
		this.#leaderLogs.clear();
		return wasLost;
	}
}
