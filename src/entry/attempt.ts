/**
What a failover attempt found and did, collected while it runs and rendered as the fields of one log line. The line holds
the whole choice, so that it can be judged when the lines of the single steps were lost.

Nothing here decides: the steps tell the trace what they found, and never read it.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import type * as types from '../generated/types.js';
import type * as decisions from './decisions.js';
import * as hosts from './hosts.js';
import type * as statement from './statement.js';

/** How an attempt ended: `failed` is by an unexpected error. */
export type Result = 'promoted' | 'given up' | 'failed';

/** The points of an attempt at which the time is noted. */
export type Step = 'found' | 'claimed' | 'suspended' | 'stepped-down' | 'paused' | 'chosen' | 'ordered' | 'accepted';

/** A server that is taken for the leader, with the last known end of its log. */
export type Leader = {readonly id: string; readonly position: statement.Position | undefined};

/** An answer of a server to an order, or why there is none. */
export type Answer = {
	readonly server: string;
	readonly order: statement.Command['kind'];
	readonly outcome: errors.Outcome<statement.ServerStatus>;
	/** Whether the server's log counts as complete. */
	readonly isSynchronized: boolean;
};

type Timed = Answer & {readonly at: number};

export type Options = {readonly service: string; readonly clock: clock.Clock};

/** Longest text of a field, of one that lists statuses, and of one entry: with about 25 fields, the line stays below 2 KB. */
const maxFieldLength = 140;
const maxStatusesLength = 240;
const maxEntryLength = 48;
const separator = ', ';

/** What one attempt found so far. */
class Findings {
	readonly steps = new Map<Step, number>();
	/** The last answer of each server before the choice and after it. */
	readonly answers = new Map<string, Timed>();
	readonly laterAnswers = new Map<string, Timed>();
	/** Number of answers of the other hosts, by order. */
	readonly hosts = new Map<types.LeaderInquiry['order'], string>();
	readonly stepDowns: string[] = [];
	readonly paused = new Set<string>();
	readonly orders: string[] = [];
	readonly reason: string;
	readonly startedAt: number;
	leader: Leader | undefined;
	confirmed: statement.Position | null = null;
	claim = {token: 0, how: ''};
	term = 0;
	fence = '';
	required: statement.Position | null = null;
	choice: {readonly target: string; readonly end: statement.Position; readonly at: number} | undefined;

	constructor(reason: string, leader: Leader | undefined, startedAt: number) {
		this.reason = reason;
		this.leader = leader;
		this.startedAt = startedAt;
	}
}

/** Collects what the attempts of one service find, one attempt after the other. */
export class Trace {
	readonly #options: Options;
	#findings: Findings;

	constructor(options: Options) {
		this.#options = options;
		this.#findings = new Findings('', undefined, options.clock.now());
	}

	/** Begins an attempt to replace a leader. */
	begin(reason: string, leader: Leader | undefined): void {
		this.#findings = new Findings(reason, leader, this.#options.clock.now());
	}

	/** Records the server that is taken for the leader to replace. */
	replaces(leader: Leader | undefined): void {
		this.#findings.leader = leader;
	}

	/** Records the first time at which a step was reached. */
	reached(step: Step): void {
		if (!this.#findings.steps.has(step)) {
			this.#findings.steps.set(step, this.#elapsedMs);
		}
	}

	/** Records a server's answer. Answers after the choice are kept apart, since the choice did not know them. */
	answered(answer: Answer): void {
		const {server, order, outcome} = answer;
		const {choice, answers, laterAnswers} = this.#findings;
		const kept = choice ? laterAnswers : answers;
		kept.set(server, {...answer, at: this.#options.clock.now()});
		if (order === 'step-down' && !choice) {
			this.#steppedDown(server, 'direct', outcome);
		}

		if (order === 'pause' && Either.isRight(outcome)) {
			this.#findings.paused.add(server);
			this.reached('paused');
		}
	}

	/** Records how many hosts answered a question, what they know to be confirmed, and the leader's answers that they pass on. */
	asked({order, server}: hosts.Question, {asked, reports}: hosts.Answers): void {
		// The hosts' answers to the announcement of the result don't matter to it.
		if (order === 'keep' || order === 'discard') {
			return;
		}

		this.#findings.hosts.set(order, `${order} ${reports.length}/${asked}`);
		if (order === 'suspend') {
			this.reached('suspended');
		}

		for (const {acknowledged, status} of reports) {
			this.confirmed(acknowledged);
			if (order === 'step-down' && status) {
				this.#steppedDown(server, 'delegated', Either.right(status));
			}
		}
	}

	/** Records a position that is known to be confirmed. */
	confirmed(known: statement.Position | null): void {
		this.#findings.confirmed = position.latest(this.#findings.confirmed, known);
	}

	claimed(token: number, how: string): void {
		this.#findings.claim = {token, how};
		this.reached('claimed');
	}

	/** Records the term that the next leader is to have. */
	dated(term: number): void {
		this.#findings.term = term;
	}

	/** Records how commits of the old leader are kept from being confirmed. */
	fenced(how: string): void {
		this.#findings.fence = how;
	}

	/** Records the position that the next leader has to have. */
	requires(required: statement.Position | null): void {
		this.#findings.required = required;
	}

	/** Records the server to promote and the end of its log. */
	chose(target: string, end: statement.Position): void {
		this.#findings.choice = {target, end, at: this.#options.clock.now()};
		this.reached('chosen');
	}

	/** Records the answer of the authority to an order. */
	ordered(answer: string): void {
		this.#findings.orders.push(`${clip(answer, maxEntryLength)} ${this.#elapsedMs}ms`);
		this.reached('ordered');
		if (answer === 'accepted') {
			this.reached('accepted');
		}
	}

	/** Returns the fields of the attempt's log line when it has ended. `leader` is the server that leads now. */
	end(result: Result, failure: string, leader: Leader | undefined): decisions.Fields {
		const {reason, leader: replaced, confirmed, claim, term, fence, choice, required} = this.#findings;
		const {answers, laterAnswers, hosts: counts, stepDowns, paused, orders, steps} = this.#findings;
		const now = this.#options.clock.now();
		const known = [...answers.values()];
		const judgedAt = choice?.at ?? now;
		return {
			service: this.#options.service,
			reason,
			leader: replaced?.id ?? '',
			leaderTerm: replaced?.position?.term ?? 0,
			candidates: list(known.filter(({outcome}) => Either.isRight(outcome)).map(answer => describeAnswer(answer, judgedAt)), maxStatusesLength),
			unanswered: list(known.filter(({outcome}) => Either.isLeft(outcome)).map(answer => describeAnswer(answer, judgedAt))),
			hosts: list([...counts.values()]),
			confirmed: confirmed ? position.format(confirmed) : '',
			token: claim.token,
			claim: clip(claim.how, maxEntryLength),
			term,
			stepDown: list(stepDowns),
			fence: clip(fence, maxEntryLength),
			paused: list([...paused]),
			target: choice?.target ?? '',
			targetPosition: choice ? position.format(choice.end) : '',
			required: required ? position.format(required) : '',
			later: list([...laterAnswers.values()].map(answer => describeAnswer(answer, now)), maxStatusesLength),
			orders: list(orders),
			result,
			failure: clip(failure, maxFieldLength),
			leads: leader?.id ?? '',
			leadsTerm: leader?.position?.term ?? 0,
			steps: [...steps].map(([step, elapsedMs]) => `${step} ${elapsedMs}`).join(separator),
			durationMs: this.#elapsedMs,
		};
	}

	/** Records the answer to an order to step down, given to this host or through another one. */
	#steppedDown(server: string, path: 'direct' | 'delegated', outcome: errors.Outcome<statement.ServerStatus>): void {
		this.#findings.stepDowns.push(`${server} ${path} ${describe(outcome)}`);
		this.reached('stepped-down');
	}

	get #elapsedMs(): number {
		return Math.round(this.#options.clock.now() - this.#findings.startedAt);
	}
}

function describeAnswer({server, outcome, isSynchronized, at}: Timed, now: number): string {
	const text = `${server} ${describe(outcome)} ${Math.round(now - at)}ms`;
	return Either.isRight(outcome) && !isSynchronized ? `${text} incomplete` : text;
}

/** Role, term, end of the log and, if it is above the term, the held term; or why there was no answer. */
function describe(outcome: errors.Outcome<statement.ServerStatus>): string {
	if (Either.isLeft(outcome)) {
		return clip(`${outcome.left.kind}: ${outcome.left.message}`, maxEntryLength);
	}

	const {role, term, position: end, heldTerm} = outcome.right;
	return `${role} ${term} ${position.format(end)}${heldTerm > term ? ` held ${heldTerm}` : ''}`;
}

/** The last entries that fit into `length`, since these decided; earlier ones are counted. */
function list(entries: readonly string[], length = maxFieldLength): string {
	const kept: string[] = [];
	let left = length;
	for (const entry of entries.toReversed()) {
		left -= entry.length + separator.length;
		if (kept.length > 0 && left < 0) {
			break;
		}

		kept.unshift(clip(entry, length));
	}

	return kept.length < entries.length ? `${entries.length - kept.length} more${separator}${kept.join(separator)}` : kept.join(separator);
}

function clip(text: string, length: number): string {
	return text.length > length ? `${text.slice(0, length - 1)}…` : text;
}

/** Asks the other hosts and records what they answer. */
export class TracedHosts extends hosts.Hosts {
	readonly #hosts: hosts.Hosts;
	readonly #trace: Trace;

	constructor(others: hosts.Hosts, trace: Trace) {
		super();
		this.#hosts = others;
		this.#trace = trace;
	}

	override prepare(service: string): void {
		this.#hosts.prepare(service);
	}

	override async ask(question: hosts.Question, isSufficient?: (report: types.LeaderReport) => boolean): Promise<hosts.Answers> {
		const answers = await this.#hosts.ask(question, isSufficient);
		this.#trace.asked(question, answers);
		return answers;
	}
}
