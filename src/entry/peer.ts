/**
The client side of a link to another entry host: opened on demand, with one task that receives its messages.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import type * as link from '../peer/link.js';
import type * as decisions from './decisions.js';
import * as notices from './notice.js';
import type * as statement from './statement.js';

/** Options of a peer. */
export type Options = {
	readonly name: string;
	/** Address for links, IP:port. */
	readonly address: string;
	readonly clock: clock.Clock;
	readonly transport: link.Transport<types.EntryMessage>;
	readonly decisions: decisions.Decisions;
};

/** A request that has a reply. */
export type Request = types.RunRequest | types.BeginRequest | types.StatementRequest | types.CommitRequest;
type WithoutId<T> = T extends Request ? Omit<T, 'id'> : never;
type Pending<T> = {readonly delivery: link.Delivery; readonly settle: (outcome: errors.Outcome<T>) => void};

/** A subscription to the peer's caches of the store's objects: the revisions already known, and the receiver of updates. */
export type Subscription = {
	readonly known: () => types.KnownRevisions;
	readonly apply: (notice: types.StateNotice) => void;
};

/** Delay after a lost link or a failed attempt before `connect` opens a new link; requests go to other hosts meanwhile. */
const retryDelayMs = 500;
/** Maximum wait for a link to open: a few round trips between regions. */
const openTimeoutMs = 250;

/** A client for one other host. */
export class Peer {
	readonly #options: Options;
	readonly #pending = new Map<number, Pending<statement.Reply>>();
	readonly #inquiries = new Map<number, Pending<types.LeaderReport>>();
	readonly #leases = new Map<number, Pending<types.QuotaGrant>>();
	#link: link.Link<types.EntryMessage> | undefined;
	#opening: Promise<link.Link<types.EntryMessage> | undefined> | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	#hasFailed = false;
	#isDraining = false;
	#lastId = 0;
	#subscription: Subscription | undefined;

	constructor(options: Options) {
		this.#options = options;
	}

	get name(): string {
		return this.#options.name;
	}

	get address(): string {
		return this.#options.address;
	}

	get isOpen(): boolean {
		return this.#link !== undefined && !this.#link.closed.aborted;
	}

	/** Whether to send new requests to this peer: not while it drains, nor after a failure until a link is open again. */
	get isUsable(): boolean {
		return this.isOpen ? !this.#isDraining : !this.#hasFailed;
	}

	/** Opens a link unless one is open or an attempt failed recently. */
	connect(): void {
		if (!this.isOpen && this.#options.clock.now() - this.#failedAt >= retryDelayMs) {
			this.#opening ??= this.#open();
		}
	}

	/**
	Sends a request and returns the reply.

	Failures: `not-run` if the request was not written, `outcome-unknown` if no reply arrived within `timeoutMs` or the link
	was lost after the write.
	*/
	async request(request: WithoutId<Request>, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#send(this.#pending, id => ({...request, id}), timeoutMs);
	}

	/** Asks about the leader of a service, with the failures of `request`. */
	async inquire(inquiry: Omit<types.LeaderInquiry, 'kind' | 'id'>, timeoutMs: number): Promise<errors.Outcome<types.LeaderReport>> {
		// The time includes that of opening a link.
		const sent = this.#send(this.#inquiries, id => ({kind: 'leader-inquiry', id, ...inquiry}), timeoutMs);
		const outcome = await this.#options.clock.limit(sent, timeoutMs);
		return outcome ?? errors.fail('outcome-unknown', 'forward', this.name, `no answer within ${Math.round(timeoutMs)} ms`);
	}

	/** Asks for operations of a customer's quota, with the failures of `request`. */
	async lease(request: Omit<types.QuotaRequest, 'kind' | 'id'>, timeoutMs: number): Promise<errors.Outcome<types.QuotaGrant>> {
		return this.#send(this.#leases, id => ({kind: 'quota-request', id, ...request}), timeoutMs);
	}

	/** Sends a message that has no reply, if the link is open. The peer rolls back open transactions when a link closes. */
	notify(message: types.RollbackNotice): void {
		if (this.isOpen) {
			this.#link?.send(message);
		}
	}

	/** Subscribes to the peer's caches, also after a reconnect; `undefined` ends the subscription. */
	subscribe(subscription: Subscription | undefined): void {
		this.#subscription = subscription;
		if (this.isOpen) {
			this.#link?.send({kind: 'subscribe', isWanted: subscription !== undefined, known: subscription?.known() ?? notices.noRevisions});
		} else if (subscription) {
			this.connect();
		}
	}

	close(): void {
		this.#link?.close();
	}

	/** Sends a message under a new id and waits for its entry in `pending` to be settled. */
	async #send<T>(pending: Map<number, Pending<T>>, create: (id: number) => types.EntryMessage, timeoutMs: number): Promise<errors.Outcome<T>> {
		const opened = await this.#awaitLink(Math.min(openTimeoutMs, timeoutMs));
		if (!opened) {
			return errors.fail('not-run', 'forward', this.name, 'no link could be opened');
		}

		this.#lastId++;
		const id = this.#lastId;
		const replied = new Promise<errors.Outcome<T>>(resolve => {
			pending.set(id, {delivery: opened.send(create(id)), settle: resolve});
		});
		const outcome = await this.#options.clock.limit(replied, timeoutMs);
		pending.delete(id);
		return outcome ?? errors.fail('outcome-unknown', 'forward', this.name, `no reply within ${Math.round(timeoutMs)} ms`);
	}

	async #awaitLink(timeoutMs: number): Promise<link.Link<types.EntryMessage> | undefined> {
		if (this.isOpen) {
			return this.#link;
		}

		this.#opening ??= this.#open();
		return this.#options.clock.limit(this.#opening, timeoutMs);
	}

	async #open(): Promise<link.Link<types.EntryMessage> | undefined> {
		const opened = await this.#options.transport.open(this.#options.address);
		this.#opening = undefined;
		if (opened) {
			if (this.#hasFailed) {
				this.#options.decisions.record('peer-regained', {peer: this.name, address: this.address});
			}

			this.#link = opened;
			this.#hasFailed = false;
			this.#isDraining = false;
			if (this.#subscription) {
				this.subscribe(this.#subscription);
			}

			void this.#receive(opened);
		} else {
			this.#recordFailure('no link could be opened');
		}

		return opened;
	}

	/** The task of a link: receives messages until the link ends, then fails the pending requests. */
	async #receive(opened: link.Link<types.EntryMessage>): Promise<void> {
		for (let message = await opened.next(); message; message = await opened.next()) {
			this.#handle(opened, message);
		}

		for (const {delivery, settle} of [...this.#pending.values(), ...this.#inquiries.values(), ...this.#leases.values()]) {
			settle(delivery.state === 'written'
				? errors.fail('outcome-unknown', 'forward', this.name, 'the link was lost before the reply')
				: errors.fail('not-run', 'forward', this.name, 'the link was lost before the request was written'));
		}

		this.#recordFailure('the link was lost');
	}

	#handle(opened: link.Link<types.EntryMessage>, message: types.EntryMessage): void {
		switch (message.kind) {
			case 'reply': {
				this.#pending.get(message.id)?.settle(Either.right(message.reply));
				break;
			}

			case 'leader-report': {
				this.#inquiries.get(message.id)?.settle(Either.right(message));
				break;
			}

			case 'quota-grant': {
				this.#leases.get(message.id)?.settle(Either.right(message));
				break;
			}

			case 'configuration':
			case 'servers':
			case 'hosts':
			case 'claims': {
				this.#subscription?.apply(message);
				break;
			}

			case 'leaving': {
				this.#isDraining = true;
				this.#options.decisions.record('peer-leaving', {peer: this.name});
				break;
			}

			case 'run':
			case 'begin':
			case 'statement':
			case 'commit':
			case 'rollback':
			case 'subscribe':
			case 'leader-inquiry':
			case 'quota-request': {
				opened.close(`the peer sent ${message.kind}, which only the opener of a link sends`);
			}
		}
	}

	#recordFailure(reason: string): void {
		if (!this.#hasFailed) {
			this.#options.decisions.record('peer-lost', {peer: this.name, address: this.address, reason});
		}

		this.#hasFailed = true;
		this.#failedAt = this.#options.clock.now();
	}
}
