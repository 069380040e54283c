/**
What two entry hosts say over one link: greetings, requests with their answers, and notices. One task for each link.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import type * as link from './link.js';

/** Messages that ask for an answer, without the id that the conversation adds. */
export type Question =
	| Omit<types.Forward, 'id'>
	| Omit<types.SuspicionQuery, 'id'>
	| Omit<types.ConfigurationQuery, 'id'>;

/** Messages that answer a question. */
export type Reply = types.Answered | types.Failed | types.SuspicionReport | types.ConfigurationReport;

/** A host's side of its conversations. */
export abstract class Handler {
	/** What this host says of itself. */
	abstract hello(): types.Hello;

	/** The peer said something new about itself. */
	abstract greeted(peer: Conversation, hello: types.Hello): void;

	/** Executes a forwarded request. */
	abstract execute(peer: Conversation, request: types.Request): Promise<errors.Outcome<types.Answer>>;

	/** Ends a session that the peer forwarded. */
	abstract endSession(peer: Conversation, session: string): void;

	/** Whether this host suspects a primary; a failure if it does not observe it. */
	abstract suspects(query: Omit<types.SuspicionQuery, 'kind' | 'id'>): errors.Outcome<boolean>;

	/** The configuration or host list that this host holds. */
	abstract report(object: types.SharedObject): {version: number; text: string};

	abstract noticePrimary(notice: types.PrimaryNotice): void;

	abstract noticeRelease(peer: Conversation, group: string): void;

	/** The link is closed. */
	abstract lost(peer: Conversation): void;

	/** No link to a host could be opened. */
	abstract unreachable(host: string): void;
}

type Pending = {readonly delivery: link.Delivery; readonly resolve: (outcome: errors.Outcome<Reply>) => void};

/** One link in use. */
export class Conversation {
	/** Service of each session whose transaction this host executes for the peer. */
	readonly sessions = new Map<string, string>();
	/** Sessions of this host whose transaction the peer executes. */
	readonly forwarded = new Set<string>();
	/** Whether this host opened the link. */
	readonly isOpener: boolean;
	readonly #link: link.Link;
	readonly #handler: Handler;
	readonly #clock: clock.Clock;
	readonly #pending = new Map<number, Pending>();
	readonly #greeting = new AbortController();
	#hello: types.Hello | undefined;
	#sent = '';
	#lastId = 0;
	#executing = 0;

	constructor(opened: link.Link, isOpener: boolean, handler: Handler, time: clock.Clock) {
		this.isOpener = isOpener;
		this.#link = opened;
		this.#handler = handler;
		this.#clock = time;
	}

	/** Name of the peer; empty before its greeting. */
	get host(): string {
		return this.#hello?.host ?? '';
	}

	/** The peer's last greeting. */
	get hello(): types.Hello | undefined {
		return this.#hello;
	}

	get isOpen(): boolean {
		return !this.#link.closed.aborted;
	}

	/** Whether nothing depends on the link: no question, request or transaction in either direction. */
	get isIdle(): boolean {
		return this.#pending.size + this.#executing + this.sessions.size + this.forwarded.size === 0;
	}

	/** The task of the link: greets, then takes messages to the end of the link. */
	async run(): Promise<void> {
		this.greet();
		for (let message = await this.#link.next(); message; message = await this.#link.next()) {
			if (this.#hello ?? message.kind === 'hello') {
				this.#take(message);
			} else {
				this.close(`the first message is ${message.kind} instead of hello`);
			}
		}

		this.#greeting.abort();
		for (const [id, {delivery}] of this.#pending) {
			this.#settle(id, delivery.state === 'written'
				? errors.fail('outcome-unknown', 'forward', this.host, 'the link was lost before the answer')
				: errors.fail('not-run', 'forward', this.host, 'the link was lost before the request was written'));
		}

		this.#handler.lost(this);
	}

	/** Waits for the peer's greeting; false if it does not come in time. */
	async greeted(timeoutMs: number): Promise<boolean> {
		if (!this.#greeting.signal.aborted) {
			await this.#clock.sleep(timeoutMs, this.#greeting.signal);
		}

		return this.#hello !== undefined && this.isOpen;
	}

	/** Says hello, unless the peer has heard the same before. */
	greet(): void {
		const hello = this.#handler.hello();
		const text = JSON.stringify(hello);
		if (text !== this.#sent) {
			this.#sent = text;
			this.#link.send(hello);
		}
	}

	/** Sends a message that has no answer. */
	tell(message: types.SessionEnd | types.PrimaryNotice | types.ReleaseNotice): void {
		this.#link.send(message);
	}

	/**
	Asks a question.

	Errors: the peer's failure; `not-run` if the question was never written; `outcome-unknown` if no answer came within
	`timeoutMs` or the link was lost.
	*/
	async ask(question: Question, timeoutMs: number): Promise<errors.Outcome<Reply>> {
		if (!this.isOpen) {
			return errors.fail('not-run', 'forward', this.host, 'the link is closed');
		}

		this.#lastId++;
		const id = this.#lastId;
		const replied = new Promise<errors.Outcome<Reply>>(resolve => {
			this.#pending.set(id, {delivery: this.#link.send({...question, id}), resolve});
		});
		const outcome = await this.#clock.limit(replied, timeoutMs);
		this.#pending.delete(id);
		return outcome ?? errors.fail('outcome-unknown', 'forward', this.host, `no answer within ${Math.round(timeoutMs)} ms`);
	}

	/** Closes the link once the peer has everything that was sent. */
	async finish(): Promise<void> {
		await this.#link.finish();
	}

	/** Closes the link at once. A reason is logged; without one the end is ordinary. */
	close(reason?: string): void {
		this.#link.close(reason);
	}

	#take(message: types.Message): void {
		switch (message.kind) {
			case 'hello': {
				this.#hello = message;
				this.#handler.greeted(this, message);
				this.#greeting.abort();
				break;
			}

			case 'forward': {
				void this.#execute(message);
				break;
			}

			case 'answered':
			case 'suspicion-report':
			case 'configuration-report': {
				this.#settle(message.id, Either.right(message));
				break;
			}

			case 'failed': {
				this.#settle(message.id, Either.left(message.failure));
				break;
			}

			case 'session-end': {
				this.#handler.endSession(this, message.session);
				break;
			}

			case 'suspicion-query': {
				const outcome = this.#handler.suspects(message);
				this.#link.send(Either.isRight(outcome)
					? {kind: 'suspicion-report', id: message.id, suspected: outcome.right}
					: {kind: 'failed', id: message.id, failure: outcome.left});
				break;
			}

			case 'primary-notice': {
				this.#handler.noticePrimary(message);
				break;
			}

			case 'release-notice': {
				this.#handler.noticeRelease(this, message.group);
				break;
			}

			case 'configuration-query': {
				this.#link.send({kind: 'configuration-report', id: message.id, ...this.#handler.report(message.object)});
				break;
			}
		}
	}

	async #execute({id, request}: types.Forward): Promise<void> {
		this.#executing++;
		const outcome = await this.#handler.execute(this, request);
		this.#executing--;
		this.#link.send(Either.isRight(outcome)
			? {kind: 'answered', id, answer: outcome.right}
			: {kind: 'failed', id, failure: outcome.left});
	}

	#settle(id: number, outcome: errors.Outcome<Reply>): void {
		this.#pending.get(id)?.resolve(outcome);
		this.#pending.delete(id);
	}
}
