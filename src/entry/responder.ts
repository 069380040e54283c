/**
Executes the requests of another entry host that arrive over one link: one task for the link, and one for each request.
*/
import type * as types from '../generated/types.js';
import type * as link from '../peer/link.js';
import * as executor from './executor.js';
import type * as jobs from './job.js';
import type * as leases from './lease.js';
import * as notices from './notice.js';
import type * as quotas from './customers/quota/quotas.js';
import type * as reporters from './reporter.js';
import type * as objects from './objects.js';
import type * as caches from './cache.js';
import * as states from './state.js';
import * as statement from './statement.js';

/** A transaction that the peer has opened on this host, and the state of its session. */
type OpenTransaction = {readonly transaction: executor.Transaction; readonly state: states.State};

/** Options of a responder. */
export type Options = {
	readonly executor: executor.Executor;
	readonly context: jobs.Context;
	readonly caches: notices.Caches;
	readonly reporter: reporters.Reporter;
	/** Absent where a deployment has no quotas. */
	readonly quotas?: quotas.Quotas;
};

/** Time reserved for the reply to reach the peer before the peer's timeout. */
const replyMarginMs = 30;

/** The server side of one link. */
export class Responder {
	readonly #link: link.Link<types.EntryMessage>;
	readonly #executor: executor.Executor;
	readonly #context: jobs.Context;
	readonly #caches: notices.Caches;
	readonly #reporter: reporters.Reporter;
	readonly #quotas: quotas.Quotas | undefined;
	/** Functions that end the peer's subscriptions, one for each cache. */
	#subscriptions: Array<() => void> = [];
	readonly #transactions = new Map<number, OpenTransaction>();
	/** Ids of transactions that are being opened, and of those among them that the peer has rolled back meanwhile. */
	readonly #opening = new Set<number>();
	readonly #rolledBack = new Set<number>();
	#activeRequests = 0;

	constructor(accepted: link.Link<types.EntryMessage>, options: Options) {
		const {executor: local, context, caches, reporter} = options;
		this.#link = accepted;
		this.#executor = local;
		this.#context = context;
		this.#caches = caches;
		this.#reporter = reporter;
		this.#quotas = options.quotas;
	}

	/** Whether the peer is subscribed to this host's caches of the store's objects. */
	get isSubscribed(): boolean {
		return this.#subscriptions.length > 0;
	}

	/** Whether no request or transaction is in progress. */
	get isIdle(): boolean {
		return this.#activeRequests === 0 && this.#transactions.size === 0;
	}

	/** Handles requests until the link ends, then rolls back the peer's open transactions. */
	async run(): Promise<void> {
		for (let message = await this.#link.next(); message; message = await this.#link.next()) {
			void this.#settle(message, this.#handle(message));
		}

		this.#subscribe(undefined);
		const open = [...this.#transactions.values()];
		this.#transactions.clear();
		await Promise.all(open.map(async ({transaction}) => transaction.rollback()));
	}

	/** Notifies the peer that this host is draining: it should send no new requests, but open transactions continue. */
	drain(): void {
		this.#link.send({kind: 'leaving'});
	}

	/** Aborts the open transactions. The reply to the next statement of each reports the abort. */
	async abort(): Promise<void> {
		await Promise.all([...this.#transactions.values()].map(async ({transaction}) => transaction.abort('the host is shutting down')));
	}

	close(): void {
		this.#link.close();
	}

	async #settle(message: types.EntryMessage, handled: Promise<void>): Promise<void> {
		await handled;
		this.#link.settle(message);
	}

	async #handle(message: types.EntryMessage): Promise<void> {
		if ((message.kind === 'run' || message.kind === 'begin') && this.#link.isOverloaded) {
			this.#link.send({kind: 'reply', id: message.id, reply: statement.refuse('busy', 'not run: the requests of this link take too much memory', 'none')});
			return;
		}

		switch (message.kind) {
			case 'run': {
				await this.#reply(message.id, this.#executor.run(this.#createJob(message.job, createState(message.job.values)), toWork(message.work)));
				break;
			}

			case 'begin': {
				await this.#reply(message.id, this.#begin(message));
				break;
			}

			case 'statement': {
				await this.#reply(message.id, this.#runStatement(message));
				break;
			}

			case 'commit': {
				await this.#reply(message.id, this.#commit(message));
				break;
			}

			case 'rollback': {
				await this.#rollback(message.transaction);
				break;
			}

			case 'leader-inquiry': {
				this.#link.send(await this.#reporter.answer(message));
				break;
			}

			case 'quota-request': {
				this.#answerQuota(message);
				break;
			}

			case 'subscribe': {
				this.#subscribe(message.isWanted ? message.known : undefined);
				break;
			}

			case 'reply':
			case 'leader-report':
			case 'quota-grant':
			case 'leaving':
			case 'configuration':
			case 'servers':
			case 'hosts':
			case 'claims': {
				this.#link.close(`the peer sent ${message.kind}, which only the acceptor of a link sends`);
				break;
			}
		}
	}

	#answerQuota(request: types.QuotaRequest): void {
		if (this.#quotas) {
			this.#link.send(this.#quotas.answer(request));
		} else {
			this.#link.close('the peer sent a quota request, but this host has no quotas');
		}
	}

	async #reply(id: number, work: Promise<statement.Reply>): Promise<void> {
		this.#activeRequests++;
		const reply = await work;
		this.#activeRequests--;
		this.#link.send({kind: 'reply', id, reply});
	}

	async #begin({transaction, mode, job}: types.BeginRequest): Promise<statement.Reply> {
		const state = createState(job.values);
		this.#opening.add(transaction);
		const opened = await this.#executor.begin(this.#createJob(job, state), mode);
		this.#opening.delete(transaction);
		const isRolledBack = this.#rolledBack.delete(transaction);
		if (!(opened instanceof executor.Transaction)) {
			return opened;
		}

		if (this.#link.closed.aborted || isRolledBack) {
			await opened.rollback();
			return statement.refuse('aborted', 'the transaction was rolled back while it was being opened', 'none');
		}

		this.#transactions.set(transaction, {transaction: opened, state});
		return statement.success('open');
	}

	async #runStatement({transaction, values, work, timeoutMs}: types.StatementRequest): Promise<statement.Reply> {
		const open = this.#transactions.get(transaction);
		if (!open) {
			return statement.refuse('aborted', 'the transaction is not open on this host', 'failed');
		}

		open.state.setValues(values);
		return open.transaction.isFailed ? open.transaction.refusal() : open.transaction.run(toWork(work), timeoutMs - replyMarginMs);
	}

	async #commit({transaction, request, text, timeoutMs}: types.CommitRequest): Promise<statement.Reply> {
		const open = this.#transactions.get(transaction);
		if (!open) {
			return statement.refuse('aborted', 'the transaction is not open on this host', 'none');
		}

		const reply = await open.transaction.commit(request, text, timeoutMs - replyMarginMs);
		this.#transactions.delete(transaction);
		return reply;
	}

	async #rollback(transaction: number): Promise<void> {
		if (this.#opening.has(transaction)) {
			this.#rolledBack.add(transaction);
			return;
		}

		const open = this.#transactions.get(transaction);
		this.#transactions.delete(transaction);
		await open?.transaction.rollback();
	}

	#subscribe(known: types.KnownRevisions | undefined): void {
		for (const unsubscribe of this.#subscriptions) {
			unsubscribe();
		}

		const {configuration, servers, hosts, claims} = this.#caches;
		this.#subscriptions = known ? [this.#publish(configuration, known), this.#publish(servers, known), this.#publish(hosts, known), this.#publish(claims, known)] : [];
	}

	/** Sends a cache's current state, or only what it has retained if the peer has the rest, and every later update. */
	#publish<K extends objects.CachedKind>(cache: caches.Cache<K>, known: types.KnownRevisions): () => void {
		const {state, kind} = cache;
		if (state) {
			const isKnown = known[kind] >= state.revision;
			this.#link.send(notices.describe(kind, isKnown ? {...state, from: state.revision, items: cache.retained} : state, cache.ageMs));
		}

		return cache.listen(update => {
			this.#link.send(notices.describe(cache.kind, update, cache.ageMs));
		});
	}

	#createJob({id, route, own, remainingMs, spentMs, customer}: types.ForwardedJob, state: states.State): jobs.Job {
		const arrivedAt = this.#context.clock.mark();
		return {
			id, route, customer, state, sessionPosition: own, arrivedAt, deadline: arrivedAt.monotonicMs + remainingMs - replyMarginMs, spentMs,
		};
	}
}

function createState(values: types.SessionValues): states.State {
	const state = new states.State();
	state.setValues(values);
	return state;
}

function toWork({id, mode, text, prepared, parameters}: types.ForwardedWork): leases.Work {
	return {
		id, mode, text: text ?? undefined, prepared: prepared ?? undefined, parameters,
	};
}
