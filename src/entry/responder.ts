/**
Work for another entry host, which came over one link: one task for the link, and one for each of its requests.
*/
import type * as types from '../generated/types.js';
import type * as link from '../peer/link.js';
import * as executor from './executor.js';
import type * as jobs from './job.js';
import type * as leases from './lease.js';
import * as notices from './notice.js';
import type * as objects from './objects.js';
import type * as replicas from './replica.js';
import * as states from './state.js';
import * as statement from './statement.js';

/** A transaction that the peer has open here, and the state of its session. */
type Open = {readonly transaction: executor.Transaction; readonly state: states.State};

/** What the work for other hosts needs. */
export type Parts = {
	readonly executor: executor.Executor;
	readonly context: jobs.Context;
	readonly replicas: notices.Replicas;
};

/** Time in ms by which work ends before the peer stops waiting for its reply. */
const replyReserveMs = 30;

/** The work of one link. */
export class Responder {
	readonly #link: link.Link<types.EntryMessage>;
	readonly #executor: executor.Executor;
	readonly #context: jobs.Context;
	readonly #replicas: notices.Replicas;
	/** Ends the peer's subscription to each replica. */
	#subscriptions: Array<() => void> = [];
	readonly #transactions = new Map<number, Open>();
	/** Transactions that are being opened, and those of them that the peer has given up since. */
	readonly #opening = new Set<number>();
	readonly #abandoned = new Set<number>();
	#running = 0;

	constructor(accepted: link.Link<types.EntryMessage>, {executor: local, context, replicas}: Parts) {
		this.#link = accepted;
		this.#executor = local;
		this.#context = context;
		this.#replicas = replicas;
	}

	/** Whether the peer follows this host's view of the store. */
	get isSubscribed(): boolean {
		return this.#subscriptions.length > 0;
	}

	/** Whether closing the link now interrupts nothing. */
	get isIdle(): boolean {
		return this.#running === 0 && this.#transactions.size === 0;
	}

	/** Takes requests to the end of the link, then rolls back what it left open. */
	async run(): Promise<void> {
		for (let message = await this.#link.next(); message; message = await this.#link.next()) {
			void this.#take(message);
		}

		this.#subscribe(undefined);
		const open = [...this.#transactions.values()];
		this.#transactions.clear();
		await Promise.all(open.map(async ({transaction}) => transaction.rollback()));
	}

	/** Tells the peer to send no new work. */
	leave(): void {
		this.#link.send({kind: 'leaving'});
	}

	/** Ends the open transactions, whose sessions are told with their next statements. */
	async abort(): Promise<void> {
		await Promise.all([...this.#transactions.values()].map(async ({transaction}) => transaction.expire('the host is shutting down')));
	}

	/** Closes the link. */
	close(): void {
		this.#link.close();
	}

	async #take(message: types.EntryMessage): Promise<void> {
		switch (message.kind) {
			case 'run': {
				await this.#reply(message.id, this.#executor.run(this.#job(message.job, makeState(message.job.values)), readWork(message.work)));
				break;
			}

			case 'begin': {
				await this.#reply(message.id, this.#begin(message));
				break;
			}

			case 'statement': {
				await this.#reply(message.id, this.#statement(message));
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

			case 'subscribe': {
				this.#subscribe(message.isWanted ? message.known : undefined);
				break;
			}

			case 'reply':
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

	async #reply(id: number, work: Promise<statement.Reply>): Promise<void> {
		this.#running++;
		const reply = await work;
		this.#running--;
		this.#link.send({kind: 'reply', id, reply});
	}

	async #begin({transaction, mode, job}: types.BeginRequest): Promise<statement.Reply> {
		const state = makeState(job.values);
		this.#opening.add(transaction);
		const opened = await this.#executor.begin(this.#job(job, state), mode);
		this.#opening.delete(transaction);
		const isAbandoned = this.#abandoned.delete(transaction);
		if (!(opened instanceof executor.Transaction)) {
			return opened;
		}

		if (this.#link.closed.aborted || isAbandoned) {
			await opened.rollback();
			return statement.refuse('aborted', 'the transaction was given up', 'none');
		}

		this.#transactions.set(transaction, {transaction: opened, state});
		return statement.own('open');
	}

	async #statement({transaction, values, work, timeoutMs}: types.StatementRequest): Promise<statement.Reply> {
		const open = this.#transactions.get(transaction);
		if (!open) {
			return statement.refuse('aborted', 'the transaction is not open here', 'failed');
		}

		open.state.assign(values);
		return open.transaction.isFailed ? open.transaction.refusal() : open.transaction.run(readWork(work), timeoutMs - replyReserveMs);
	}

	async #commit({transaction, request, text, timeoutMs}: types.CommitRequest): Promise<statement.Reply> {
		const open = this.#transactions.get(transaction);
		if (!open) {
			return statement.refuse('aborted', 'the transaction is not open here', 'none');
		}

		const reply = await open.transaction.commit(request, text, timeoutMs - replyReserveMs);
		this.#transactions.delete(transaction);
		return reply;
	}

	async #rollback(transaction: number): Promise<void> {
		if (this.#opening.has(transaction)) {
			this.#abandoned.add(transaction);
			return;
		}

		const open = this.#transactions.get(transaction);
		this.#transactions.delete(transaction);
		await open?.transaction.rollback();
	}

	#subscribe(known: types.KnownRevisions | undefined): void {
		for (const end of this.#subscriptions) {
			end();
		}

		const {configuration, servers, hosts, claims} = this.#replicas;
		this.#subscriptions = known ? [this.#publish(configuration, known), this.#publish(servers, known), this.#publish(hosts, known), this.#publish(claims, known)] : [];
	}

	/** Sends the present state, unless the peer has it, and each step after it. */
	#publish<K extends objects.Kind>(replica: replicas.Replica<K>, known: types.KnownRevisions): () => void {
		const {state, kind} = replica;
		if (state) {
			const isKnown = known[kind] >= state.revision;
			this.#link.send(notices.describe(kind, isKnown ? {...state, from: state.revision, items: []} : state, replica.ageMs));
		}

		return replica.listen(step => {
			this.#link.send(notices.describe(replica.kind, step, replica.ageMs));
		});
	}

	#job({id, route, own, remainingMs, spentMs}: types.ForwardedJob, state: states.State): jobs.Job {
		const arrivedAt = this.#context.clock.mark();
		return {
			id, route, state, own, arrivedAt, deadline: arrivedAt.monotonicMs + remainingMs - replyReserveMs, spentMs,
		};
	}
}

function makeState(values: types.SessionValues): states.State {
	const state = new states.State();
	state.assign(values);
	return state;
}

function readWork({id, mode, text, prepared, parameters}: types.ForwardedWork): leases.Work {
	return {
		id, mode, text: text ?? undefined, prepared: prepared ?? undefined, parameters,
	};
}
