/**
The protocol between two entry hosts over one link: hello messages, requests with their responses, and notices. Each link
has one task.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import type * as link from './link.js';

/** Messages that expect a reply, without the id that the connection adds. */
export type Request =
	| Omit<types.Forward, 'id'>
	| Omit<types.SuspicionQuery, 'id'>
	| Omit<types.ConfigurationQuery, 'id'>;

/** Messages that reply to a request. */
export type Reply = types.Answered | types.Failed | types.SuspicionReport | types.ConfigurationReport;

/** Handles the messages and events of a host's connections to its peers. */
export abstract class Handler {
	/** The hello message with the current state of this host. */
	abstract hello(): types.Hello;

	/** The peer sent a hello message, the first one or one with a changed state. */
	abstract onHello(peer: Connection, hello: types.Hello): void;

	/** Executes a forwarded request. */
	abstract execute(peer: Connection, request: types.Request): Promise<errors.Outcome<types.Answer>>;

	/** Ends a session for which the peer forwarded requests. */
	abstract endSession(peer: Connection, session: string): void;

	/** Whether this host suspects the primary of a group; a failure if it does not observe that group. */
	abstract suspects(query: Omit<types.SuspicionQuery, 'kind' | 'id'>): errors.Outcome<boolean>;

	/** The version of the configuration or host list that this host has. */
	abstract report(object: types.SharedObject): {version: number; text: string};

	abstract onPrimaryNotice(notice: types.PrimaryNotice): void;

	abstract onReleaseNotice(peer: Connection, group: string): void;

	/** The link was closed by either side or lost. */
	abstract onClosed(peer: Connection): void;

	/** No link to a host could be opened. */
	abstract onUnreachable(host: string): void;
}

type Pending = {readonly delivery: link.Delivery; readonly resolve: (outcome: errors.Outcome<Reply>) => void};

/** A connection to a peer over one link. */
export class Connection {
	/** Service of each session whose transaction this host executes for the peer, by session. */
	readonly remoteSessions = new Map<string, string>();
	/** Sessions of this host whose transaction the peer executes. */
	readonly forwardedSessions = new Set<string>();
	/** Whether this host opened the link. */
	readonly isInitiator: boolean;
	readonly #link: link.Link;
	readonly #handler: Handler;
	readonly #clock: clock.Clock;
	readonly #pending = new Map<number, Pending>();
	readonly #helloReceived = new AbortController();
	#hello: types.Hello | undefined;
	#lastSentHello = '';
	#lastId = 0;
	#executing = 0;

	constructor(opened: link.Link, isInitiator: boolean, handler: Handler, time: clock.Clock) {
		this.isInitiator = isInitiator;
		this.#link = opened;
		this.#handler = handler;
		this.#clock = time;
	}

	/** Name of the peer; empty until its first hello message. */
	get host(): string {
		return this.#hello?.host ?? '';
	}

	/** The last hello message of the peer. */
	get hello(): types.Hello | undefined {
		return this.#hello;
	}

	get isOpen(): boolean {
		return !this.#link.closed.aborted;
	}

	/** Whether no request or transaction in either direction depends on the link. */
	get isIdle(): boolean {
		return this.#pending.size + this.#executing + this.remoteSessions.size + this.forwardedSessions.size === 0;
	}

	/** Sends the hello message, then handles messages until the link closes. */
	async run(): Promise<void> {
		this.sendHello();
		for (let message = await this.#link.next(); message; message = await this.#link.next()) {
			if (this.#hello ?? message.kind === 'hello') {
				this.#receive(message);
			} else {
				this.close(`expected hello as the first message, received ${message.kind}`);
			}
		}

		this.#helloReceived.abort();
		for (const [id, {delivery}] of this.#pending) {
			this.#resolve(id, delivery.state === 'written'
				? errors.fail('outcome-unknown', 'forward', this.host, 'the link was lost before the reply arrived')
				: errors.fail('not-run', 'forward', this.host, 'the link was lost before the request was written'));
		}

		this.#handler.onClosed(this);
	}

	/** Waits for the peer's first hello message; false if it does not arrive in time or the link closes. */
	async awaitHello(timeoutMs: number): Promise<boolean> {
		if (!this.#helloReceived.signal.aborted) {
			await this.#clock.sleep(timeoutMs, this.#helloReceived.signal);
		}

		return this.#hello !== undefined && this.isOpen;
	}

	/** Sends the hello message if its content has changed since the last one. */
	sendHello(): void {
		const hello = this.#handler.hello();
		const text = JSON.stringify(hello);
		if (text !== this.#lastSentHello) {
			this.#lastSentHello = text;
			this.#link.send(hello);
		}
	}

	/** Sends a message that expects no reply. */
	notify(message: types.SessionEnd | types.PrimaryNotice | types.ReleaseNotice): void {
		this.#link.send(message);
	}

	/**
	Sends a request and waits for the reply.

	Errors: the failure that the peer returned; `not-run` if the request was never written; `outcome-unknown` if no reply
	arrived within `timeoutMs` or the link was lost.
	*/
	async request(request: Request, timeoutMs: number): Promise<errors.Outcome<Reply>> {
		if (!this.isOpen) {
			return errors.fail('not-run', 'forward', this.host, 'the link is closed');
		}

		this.#lastId++;
		const id = this.#lastId;
		const replied = new Promise<errors.Outcome<Reply>>(resolve => {
			this.#pending.set(id, {delivery: this.#link.send({...request, id}), resolve});
		});
		const outcome = await this.#clock.limit(replied, timeoutMs);
		this.#pending.delete(id);
		return outcome ?? errors.fail('outcome-unknown', 'forward', this.host, `no reply within ${Math.round(timeoutMs)} ms`);
	}

	/** Closes the link after the peer has received all sent messages. */
	async finish(): Promise<void> {
		await this.#link.finish();
	}

	/** Closes the link immediately. A given reason is logged; a regular close has none. */
	close(reason?: string): void {
		this.#link.close(reason);
	}

	#receive(message: types.Message): void {
		switch (message.kind) {
			case 'hello': {
				this.#hello = message;
				this.#handler.onHello(this, message);
				this.#helloReceived.abort();
				break;
			}

			case 'forward': {
				void this.#execute(message);
				break;
			}

			case 'answered':
			case 'suspicion-report':
			case 'configuration-report': {
				this.#resolve(message.id, Either.right(message));
				break;
			}

			case 'failed': {
				this.#resolve(message.id, Either.left(message.failure));
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
				this.#handler.onPrimaryNotice(message);
				break;
			}

			case 'release-notice': {
				this.#handler.onReleaseNotice(this, message.group);
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

	#resolve(id: number, outcome: errors.Outcome<Reply>): void {
		this.#pending.get(id)?.resolve(outcome);
		this.#pending.delete(id);
	}
}
