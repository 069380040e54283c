/**
Checks the consistency guarantees during a soak test, from the reports of callers and backend servers.
*/
import type * as clock from '../core/clock.js';
import type * as replicated from './replicated.js';
import type * as routes from './routes.js';

/** A request as its caller sent it, before any entry host handles it. */
export type Request = {
	readonly id: string;
	readonly text: string;
	/** What its route promises of a read at a group; `undefined` if the route never leads there. */
	readonly guarantee: (group: string) => routes.Guarantee | undefined;
	/** Clock time in ms just before the request, or the `BEGIN` of its transaction, was sent. */
	readonly sentAt: number;
	/** Session variables whose `SET` was acknowledged. */
	readonly values: ReadonlyMap<string, string>;
	/** Ids of the session's own acknowledged writes. */
	readonly ownWrites: readonly string[];
};

/** An execution of a statement: the server, and the values of the session variables on its connection. */
export type Execution = {readonly server: replicated.Server; readonly values: ReadonlyMap<string, string>; readonly isWrite: boolean};

/** Outcome of a write as reported to its caller. */
export type Outcome = 'acknowledged' | 'not-kept' | 'unknown';

/** Tolerance of age checks: callers and servers share one clock, but messages between them take time. */
const ageToleranceMs = 20;

/** Name of the group of a server, from the server's id or a signature of it. */
export function groupOf(text: string): string {
	const [server = ''] = text.split('.', 1);
	return server.slice(0, server.lastIndexOf('-'));
}

/** Records requests, executions and outcomes, and collects violations. */
export class Checker {
	/** Violated guarantees, each with the ids of the requests concerned. */
	readonly violations: string[] = [];
	/** Promotions that took effect, with their clock times. */
	readonly promotions: Array<{readonly at: number; readonly text: string}> = [];
	readonly #clock: clock.Clock;
	readonly #requests = new Map<string, Request>();
	readonly #signatures = new Map<string, Set<string>>();
	/** Acknowledged writes, each with its group and the time of its acknowledgement. */
	readonly #acknowledged: Array<{readonly id: string; readonly group: string; readonly at: number}> = [];
	readonly #outcomes = new Map<string, {readonly outcome: Outcome; readonly group: string}>();
	readonly #count = {executions: 0};

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	/** Number of statements that servers executed. */
	get executions(): number {
		return this.#count.executions;
	}

	/** Number of acknowledged writes. */
	get acknowledged(): number {
		return this.#acknowledged.length;
	}

	/** Clock time of the last acknowledgement of a write in the group. */
	lastAcknowledgedAt(group: string): number {
		return this.#acknowledged.findLast(write => write.group === group)?.at ?? Number.NEGATIVE_INFINITY;
	}

	/** Records a request that a caller is about to send. */
	recordRequest(request: Request): void {
		this.#requests.set(request.id, request);
	}

	/** Records that a server executes a caller's statement, checks it, and returns the signature of the execution. */
	recordExecution(id: string, text: string, {server, values, isWrite}: Execution): string {
		this.#count.executions++;
		const request = this.#requests.get(id);
		const signature = `${server.id}.${id}.${this.#count.executions}`;
		if (!request) {
			this.violations.push(`unasked: ${server.id} ran ${id} ${text}, which no caller sent`);
			return signature;
		}

		if (request.text !== text) {
			this.violations.push(`changed: ${server.id} ran ${id} as "${text}" instead of "${request.text}"`);
		}

		const [expected, actual] = [request.values, values].map(all => JSON.stringify([...all].toSorted(([one], [other]) => one < other ? -1 : 1)));
		if (expected !== actual) {
			this.violations.push(`values: ${server.id} ran ${id} with ${actual} instead of ${expected}`);
		}

		this.#signatures.set(id, (this.#signatures.get(id) ?? new Set<string>()).add(signature));
		if (!isWrite && text !== 'COMMIT') {
			this.#checkRead(request, server);
		}

		return signature;
	}

	/** Checks that a successful response belongs to an execution of the request, and carries its rows. */
	checkResponse(id: string, signature: string, rows: readonly string[]): void {
		const isRead = this.#requests.get(id)?.text.startsWith('READ') ?? false;
		if (!this.#signatures.get(id)?.has(signature) || (isRead && rows.join('') !== signature)) {
			this.violations.push(`mixed: the response to ${id} had signature ${signature} and rows ${rows.join(' ')}`);
		}
	}

	/** Records the outcome that the caller of writes received. The group is that of the server that signed the success; empty without one. */
	recordOutcome(group: string, ids: readonly string[], outcome: Outcome): void {
		for (const id of ids) {
			this.#outcomes.set(id, {outcome, group});
			if (outcome === 'acknowledged') {
				this.#acknowledged.push({id, group, at: this.#clock.now()});
			}
		}
	}

	/** Checks that the log of a promoted server holds all acknowledged writes of its group. */
	promoted({group, target, former, servers, order}: replicated.Promotion): void {
		const describe = ({id, log, heldTerm}: replicated.Server): string => `${id} (term ${log.at(-1)?.term ?? 0}, ${log.length} entries${heldTerm > 0 ? `, held ${heldTerm}` : ''})`;
		this.promotions.push({at: this.#clock.now(), text: `${describe(target)} leads ${group} in term ${target.term} after ${former?.id ?? 'none'} by ${order}`});
		this.#checkLoss(group, target.log, 'the promoted log', id => {
			const holders = servers.filter(({log, isUnresponsive}) => !isUnresponsive && log.some(({writes}) => writes.some(write => write.id === id)));
			return `, promoted ${describe(target)} after ${former?.id ?? 'none'} by ${order}, held by ${holders.map(server => describe(server)).join(', ') || 'no running server'}`;
		});
	}

	/** Compares the final log of a group with the outcomes that callers received. */
	checkFinalLog(group: string, log: readonly replicated.Entry[]): void {
		this.#checkLoss(group, log, 'the final log');
		const counts = new Map<string, number>();
		for (const {id} of log.flatMap(({writes}) => writes)) {
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		for (const [id, count] of counts) {
			if (count > 1) {
				this.violations.push(`twice: ${id} was applied ${count} times`);
			}

			if (this.#outcomes.get(id)?.outcome === 'not-kept') {
				this.violations.push(`refused: ${id} was applied although the response to its caller excluded that`);
			}
		}
	}

	#checkLoss(group: string, log: readonly replicated.Entry[], where: string, explain: (id: string) => string = () => ''): void {
		const logIds = new Set(log.flatMap(({writes}) => writes.map(({id}) => id)));
		for (const {id, at} of this.#acknowledged.filter(write => write.group === group && !logIds.has(write.id))) {
			this.violations.push(`lost: ${id} was acknowledged ${Math.round(this.#clock.now() - at)} ms before and is not in ${where} of ${group}${explain(id)}`);
		}
	}

	/**
	Checks that the log at which a read runs contains the writes that its route promises: all of its group that were
	acknowledged before the read was sent, or longer before than the permitted age, and those of the session itself at this
	group, whichever groups its route has led to since.
	*/
	#checkRead({id, guarantee, sentAt, ownWrites}: Request, server: replicated.Server): void {
		const group = groupOf(server.id);
		const promised = guarantee(group);
		if (!promised) {
			this.violations.push(`misrouted: ${server.id} ran ${id}, whose route never led to ${group}`);
			return;
		}

		const {maxAgeMs, includesOwn} = promised;
		const present = new Set(server.log.flatMap(({writes}) => writes.map(write => write.id)));
		const before = maxAgeMs === 0 ? sentAt : sentAt - maxAgeMs - ageToleranceMs;
		const missing = this.#acknowledged.find(write => write.group === group && write.at < before && !present.has(write.id))?.id
			?? (includesOwn ? ownWrites.find(write => this.#outcomes.get(write)?.group === group && !present.has(write)) : undefined);
		if (missing !== undefined) {
			this.violations.push(`stale: ${server.id} ran ${id} (${maxAgeMs} ms${includesOwn ? ', with its own' : ''}) without ${missing}`);
		}
	}
}
