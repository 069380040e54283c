/**
The promises, checked from what callers and backend servers see while a soak runs.
*/
import type * as clock from '../core/clock.js';
import type * as types from '../generated/types.js';
import type * as replicated from './replicated.js';

/** A request as its caller sent it. */
export type Sent = {
	readonly id: string;
	readonly text: string;
	readonly kind: types.RouteKind;
	readonly ageMs: number;
	/** Time of the clock at which the first byte of the read, or of its transaction, was sent. */
	readonly sentAt: number;
	/** Values that were acknowledged to the session. */
	readonly values: ReadonlyMap<string, string>;
	/** Ids of the session's own acknowledged writes. */
	readonly own: readonly string[];
};

/** Where and how a server ran a statement. */
export type Run = {readonly server: replicated.Server; readonly values: ReadonlyMap<string, string>; readonly isWrite: boolean};

/** How a write ended for its caller. */
export type End = 'acknowledged' | 'not-kept' | 'unknown';

/** Uncertainty in ms of ages: callers and servers share one clock, and messages take time. */
const ageErrorMs = 20;

/** Checks the promises. */
export class Judge {
	/** What was broken, with the ids concerned. */
	readonly faults: string[] = [];
	readonly #clock: clock.Clock;
	readonly #sent = new Map<string, Sent>();
	readonly #signatures = new Map<string, Set<string>>();
	/** Acknowledged writes by group and time. */
	readonly #acknowledged: Array<{readonly id: string; readonly group: string; readonly at: number}> = [];
	readonly #ends = new Map<string, {readonly end: End; readonly group: string}>();
	readonly #count = {runs: 0};

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	/** Statements that servers ran. */
	get runs(): number {
		return this.#count.runs;
	}

	/** Writes that were acknowledged. */
	get acknowledged(): number {
		return this.#acknowledged.length;
	}

	/** Notes that a caller sends a request. */
	send(sent: Sent): void {
		this.#sent.set(sent.id, sent);
	}

	/** Notes that a server runs a caller's statement, and gives its signature. */
	ran(id: string, text: string, {server, values, isWrite}: Run): string {
		this.#count.runs++;
		const sent = this.#sent.get(id);
		const signature = `${server.id}.${id}.${this.#count.runs}`;
		if (!sent) {
			this.faults.push(`unasked: ${server.id} ran ${id} ${text}, which no caller sent`);
			return signature;
		}

		if (sent.text !== text) {
			this.faults.push(`changed: ${server.id} ran ${id} as "${text}" instead of "${sent.text}"`);
		}

		const [given, held] = [sent.values, values].map(all => JSON.stringify([...all].toSorted(([one], [other]) => one < other ? -1 : 1)));
		if (given !== held) {
			this.faults.push(`values: ${server.id} ran ${id} with ${held} instead of ${given}`);
		}

		this.#signatures.set(id, (this.#signatures.get(id) ?? new Set<string>()).add(signature));
		if (!isWrite && text !== 'COMMIT') {
			this.#judgeRead(sent, server);
		}

		return signature;
	}

	/** Notes a successful answer to a caller. */
	answered(id: string, signature: string, rows: readonly string[]): void {
		const isRead = this.#sent.get(id)?.text.startsWith('READ') ?? false;
		if (!this.#signatures.get(id)?.has(signature) || (isRead && rows.join('') !== signature)) {
			this.faults.push(`mixed: the answer to ${id} was ${signature} with ${rows.join(' ')}`);
		}
	}

	/** Notes how writes ended for their caller. */
	end(group: string, ids: readonly string[], end: End): void {
		for (const id of ids) {
			this.#ends.set(id, {end, group});
			if (end === 'acknowledged') {
				this.#acknowledged.push({id, group, at: this.#clock.now()});
			}
		}
	}

	/** Looks for acknowledged writes that a promotion has lost. */
	promoted(group: string, kept: readonly replicated.Entry[]): void {
		this.#judgeLoss(group, kept, 'the promoted log');
	}

	/** Compares the log of a group at the end with what callers were told. */
	conclude(group: string, log: readonly replicated.Entry[]): void {
		this.#judgeLoss(group, log, 'the last log');
		const counts = new Map<string, number>();
		for (const {id} of log.flatMap(({writes}) => writes)) {
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		for (const [id, count] of counts) {
			if (count > 1) {
				this.faults.push(`twice: ${id} took effect ${count} times`);
			}

			if (this.#ends.get(id)?.end === 'not-kept') {
				this.faults.push(`refused: ${id} is kept though its caller was told that nothing is`);
			}
		}
	}

	#judgeLoss(group: string, log: readonly replicated.Entry[], where: string): void {
		const kept = new Set(log.flatMap(({writes}) => writes.map(({id}) => id)));
		for (const {id} of this.#acknowledged.filter(write => write.group === group && !kept.has(write.id))) {
			this.faults.push(`lost: ${id} was acknowledged and is not in ${where} of ${group}`);
		}
	}

	/** A read must see what was acknowledged before it, as far as its route promises. */
	#judgeRead({id, kind, ageMs, sentAt, own}: Sent, server: replicated.Server): void {
		const held = new Set(server.log.flatMap(({writes}) => writes.map(write => write.id)));
		const group = server.id.slice(0, server.id.lastIndexOf('-'));
		const before = kind === 'primary' ? sentAt : sentAt - ageMs - ageErrorMs;
		const missing = this.#acknowledged.find(write => write.group === group && write.at < before && !held.has(write.id))?.id
			?? (kind === 'session' ? own.find(write => !held.has(write)) : undefined);
		if (missing !== undefined) {
			this.faults.push(`stale: ${server.id} ran ${id} (${kind}, ${ageMs} ms) without ${missing}`);
		}
	}
}
