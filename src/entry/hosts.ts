/**
The other hosts that work in a service, as a failover asks them: whether the leader responds to them, and for orders that
this host can't deliver itself. What one host sees is no evidence that a server has failed (indirect probes of SWIM,
the quorum of observers of Sentinel).
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as confirmation from './confirmation.js';
import type * as peers from './peer.js';

/** A question to all other hosts, with the order that they carry out first. */
export type Question = Omit<types.LeaderInquiry, 'kind' | 'id'>;

/** The reports of the hosts that answered in time, and the number of hosts that were asked. */
export type Answers = {readonly reports: readonly types.LeaderReport[]; readonly isComplete: boolean; readonly asked: number};

/** Asks the other hosts. */
export abstract class Hosts {
	/** Prepares for questions about a service, so that the first one doesn't wait for links. */
	abstract prepare(service: string): void;

	/**
	Sends a question to every host that works in the service, and waits a short time for the answers, or for the first one that
	`isSufficient` accepts.
	*/
	abstract ask(question: Question, isSufficient?: (report: types.LeaderReport) => boolean): Promise<Answers>;
}

/** Time for an answer: a round trip between regions, a probe of the leader, and the opening of a link. */
const answerTimeoutMs = 250;
/** Time after a missing answer for which the next answer of that host isn't awaited, unless its link is open. */
const skipAfterSilenceMs = 5000;

export type Options = {
	readonly clock: clock.Clock;
	/** Links to the hosts that work in a service, other than this one. */
	readonly colleagues: (service: string) => readonly peers.Peer[];
};

/** Asks over links. */
export class LinkedHosts extends Hosts {
	readonly #options: Options;
	/** Clock time of the last missing answer, by name of the host. */
	readonly #silentAt = new Map<string, number>();

	constructor(options: Options) {
		super();
		this.#options = options;
	}

	override prepare(service: string): void {
		for (const peer of this.#options.colleagues(service)) {
			peer.connect();
		}
	}

	override async ask(question: Question, isSufficient: (report: types.LeaderReport) => boolean = () => false): Promise<Answers> {
		const asked = this.#options.colleagues(question.service);
		const reports: types.LeaderReport[] = [];
		await new Promise<void>(resolve => {
			const add = async (peer: peers.Peer): Promise<void> => {
				const report = await this.#askOne(peer, question);
				if (report) {
					reports.push(report);
				}

				if (report && isSufficient(report)) {
					resolve();
				}
			};

			void this.#resolveAfter(asked.map(async peer => add(peer)), resolve);
		});
		return {reports: [...reports], isComplete: reports.length === asked.length, asked: asked.length};
	}

	async #resolveAfter(tasks: ReadonlyArray<Promise<void>>, resolve: () => void): Promise<void> {
		await Promise.all(tasks);
		resolve();
	}

	async #askOne(peer: peers.Peer, question: Question): Promise<types.LeaderReport | undefined> {
		const isSkipped = !peer.isOpen && this.#options.clock.now() - (this.#silentAt.get(peer.name) ?? Number.NEGATIVE_INFINITY) < skipAfterSilenceMs;
		const answer = this.#receive(peer, question);
		return isSkipped ? undefined : answer;
	}

	async #receive(peer: peers.Peer, question: Question): Promise<types.LeaderReport | undefined> {
		const outcome = await peer.inquire(question, answerTimeoutMs);
		if (Either.isRight(outcome)) {
			this.#silentAt.delete(peer.name);
			return outcome.right;
		}

		this.#silentAt.set(peer.name, this.#options.clock.now());
		return undefined;
	}
}

/** Terms that stand for a rule without an order: leaders have terms from 1 on, and successors from 2 on. */
const settledTerm = 0;
const leaderTerm = 1;

/** A rule that names a server, as the fields of a message. Hosts of earlier builds read the order only. */
type RuleFields = Pick<types.LeaderInquiry, 'server' | 'term'> & {readonly order: 'keep' | 'discard'};

/**
Returns the fields of the message that announces a rule.

@example
```
const fields = hosts.encodeRule({kind: 'ordered', server: 'b', term: 3, fate: 'kept'}); //=> {order: 'keep', server: 'b', term: 3}
```
*/
export function encodeRule(rule: Extract<confirmation.Rule, {server: string}>): RuleFields {
	const {kind, server} = rule;
	if (kind === 'ordered') {
		return {order: rule.fate === 'kept' ? 'keep' : 'discard', server, term: rule.term};
	}

	return {order: 'keep', server, term: kind === 'settled' ? settledTerm : leaderTerm};
}

/**
Returns the rule that a message announces.

@example
```
const rule = hosts.decodeRule({order: 'keep', server: 'b', term: 0}); //=> {kind: 'settled', server: 'b'}
```
*/
export function decodeRule({order, server, term}: RuleFields): confirmation.Rule {
	switch (term) {
		case settledTerm: {
			return {kind: 'settled', server};
		}

		case leaderTerm: {
			return {kind: 'leader', server};
		}

		default: {
			return {
				kind: 'ordered', server, term, fate: order === 'keep' ? 'kept' : 'discarded',
			};
		}
	}
}

/**
Returns an outstanding order as the fields of a message.

@example
```
const entry = hosts.encodeOutstanding({token: 7, rule: {kind: 'ordered', server: 'b', term: 3, fate: 'kept'}}); //=> {token: 7, order: 'keep', server: 'b', term: 3}
```
*/
export function encodeOutstanding({token, rule}: confirmation.Outstanding): types.OutstandingOrder {
	return {token, ...encodeRule(rule)};
}

/**
Returns the outstanding order that a message names; nothing if the message names another rule.

@example
```
const [order] = hosts.decodeOutstanding({token: 7, order: 'keep', server: 'b', term: 3});
```
*/
export function decodeOutstanding({token, ...fields}: types.OutstandingOrder): confirmation.Outstanding[] {
	const rule = decodeRule(fields);
	return rule.kind === 'ordered' ? [{token, rule}] : [];
}
