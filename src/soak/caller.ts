/**
Load generators of the soak test: sessions that read, write and run transactions through the entry hosts, and report each
request and its outcome to the checker.
*/
import * as net from 'node:net';
import * as line from '../platform/line.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import * as checkers from './checker.js';
import type * as contacts from './contact.js';
import type * as soakCustomers from './customers.js';
import type * as requests from './unanswered.js';

/** A route, what it promises of reads at a group, and the least time that any configuration gives its statements. */
export type Route = {readonly database: string; readonly guarantee: checkers.Request['guarantee']; readonly timeoutMs: number};

export type Options = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly checker: checkers.Checker;
	readonly unanswered: requests.Unanswered;
	/** Longest pause between two operations. */
	readonly maxPauseMs: number;
	/** What a request needs beside its host. */
	readonly scopes: readonly contacts.Scope[];
	readonly route: Route;
	/** The caller's customer; `undefined` in deployments without customers. */
	readonly customer: {readonly all: soakCustomers.Customers; readonly index: number} | undefined;
	/** Addresses of the entry hosts' caller listeners. */
	readonly hosts: readonly string[];
};

type Response = {readonly rows: readonly string[]; readonly signature: string; readonly error: string | undefined; readonly state: string};

/** Error codes that guarantee that the attempt had no effect. */
const notAppliedCodes: ReadonlySet<string> = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'CONNLIMIT']);
const responseTimeoutMs = 6000;
/** Longest pause between two sessions. */
const maxOpenPauseMs = 120;
const itemCount = 20;

/** Runs one caller's sessions, one after another, and counts its operations. */
export class Caller {
	/** Clock times in ms at which operations succeeded. */
	readonly servedAt: number[] = [];
	attempts = 0;
	readonly #options: Options;
	readonly #name: string;
	#count = 0;

	constructor(name: string, options: Options) {
		this.#name = name;
		this.#options = options;
	}

	/** Opens one session after another, each at a random host, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, random: source, hosts} = this.#options;
		while (!signal.aborted) {
			const session = new Session(source.integer(0, hosts.length - 1), this.#options);
			if (await session.open()) {
				const end = time.now() + source.integer(200, 6000);
				while (!signal.aborted && session.isOpen && time.now() < end) {
					this.attempts++;
					if (await this.#runOperation(session)) {
						this.servedAt.push(time.now());
					}

					await time.sleep(source.integer(0, this.#options.maxPauseMs));
				}
			}

			session.close();
			await time.sleep(source.integer(10, maxOpenPauseMs));
		}
	}

	/** Runs one random operation and returns whether it succeeded. */
	async #runOperation(session: Session): Promise<boolean> {
		const source = this.#options.random;
		const item = source.integer(1, itemCount);
		switch (source.integer(0, 9)) {
			case 0: {
				return session.set(`v${source.integer(1, 3)}`, String(source.integer(1, 3)));
			}

			case 1: {
				return session.prepare(`s${source.integer(1, 2)}`, source.integer(0, 1) === 0 ? `READ q${item}` : `WRITE q${item}`);
			}

			case 2:
			case 3: {
				return this.#runTransaction(session, item);
			}

			case 4:
			case 5:
			case 6: {
				return session.write(this.#nextId(), `WRITE ${item} ${this.#name}`);
			}

			default: {
				return session.read(this.#nextId(), `READ ${item}`);
			}
		}
	}

	async #runTransaction(session: Session, item: number): Promise<boolean> {
		const source = this.#options.random;
		if (!await session.begin(this.#nextId())) {
			return false;
		}

		const steps = source.integer(1, 4);
		for (let step = 0; step < steps; step++) {
			const isWrite = source.integer(0, 2) === 0;
			const isDone = isWrite ? await session.write(this.#nextId(), `WRITE ${item} ${this.#name}`) : await session.read(this.#nextId(), `READ ${item}`);
			if (!isDone) {
				await session.rollback(this.#nextId());
				return false;
			}

			await this.#options.clock.sleep(source.integer(0, 60));
		}

		if (source.integer(0, 9) === 0) {
			// Disconnects in the middle of the transaction.
			session.close();
			return true;
		}

		return source.integer(0, 4) === 0 ? session.rollback(this.#nextId()) : session.commit(this.#nextId());
	}

	#nextId(): string {
		this.#count++;
		return `${this.#name}-${this.#count}`;
	}
}

class Session {
	readonly #options: Options;
	readonly #socket: net.Socket;
	readonly #splitter = new line.Splitter();
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, string>();
	readonly #ownWrites: string[] = [];
	readonly #lines: string[] = [];
	#onLine: (() => void) | undefined;
	readonly #host: number;
	#isOpen = true;
	readonly #key: string;
	/** Clock time at which the host ended the connection. */
	#endedAt: number | undefined;
	/** The open transaction: the time of its `BEGIN`, and the ids of its writes. */
	#transaction: {readonly id: string; readonly sentAt: number; readonly writes: string[]} | undefined;

	constructor(host: number, options: Options) {
		this.#options = options;
		this.#host = host;
		this.#key = options.customer?.all.key(options.customer.index) ?? 'soak';
		const [address, port] = options.hosts[host].split(':');
		this.#socket = net.connect({host: address, port: Number(port), noDelay: true});
		this.#socket.on('data', chunk => {
			this.#lines.push(...this.#splitter.push(chunk) ?? []);
			this.#onLine?.();
		});
		const end = (): void => {
			if (this.#isOpen) {
				this.#endedAt = this.#options.clock.now();
				this.close();
			}
		};

		this.#socket.on('error', end);
		this.#socket.on('close', end);
	}

	get isOpen(): boolean {
		return this.#isOpen;
	}

	async open(): Promise<boolean> {
		this.#socket.write(`STARTUP ${this.#options.route.database} ${this.#key}\r\n`);
		const response = await this.#readLine();
		return response?.startsWith('READY') ?? false;
	}

	close(): void {
		this.#isOpen = false;
		this.#socket.destroy();
		this.#onLine?.();
		this.#endTransaction('not-kept');
	}

	async set(name: string, value: string): Promise<boolean> {
		const isDone = await this.#command(`SET ${name} ${value}`);
		if (isDone) {
			this.#values.set(name, value);
		}

		return isDone;
	}

	async prepare(name: string, text: string): Promise<boolean> {
		const isDone = await this.#command(`PREPARE ${name} ${text}`);
		if (isDone) {
			this.#prepared.set(name, text);
		}

		return isDone;
	}

	async begin(id: string): Promise<boolean> {
		const sentAt = this.#options.clock.now();
		const response = await this.#query(id, 'BEGIN');
		if (response && response.error === undefined) {
			this.#transaction = {id, sentAt, writes: []};
		}

		return this.#transaction !== undefined;
	}

	async read(id: string, text: string): Promise<boolean> {
		const response = await this.#execute(id, text);
		return response !== undefined && response.error === undefined;
	}

	async write(id: string, text: string): Promise<boolean> {
		this.#transaction?.writes.push(id);
		const response = await this.#execute(id, text);
		if (!this.#transaction) {
			this.#recordOutcome([id], response);
		}

		return response !== undefined && response.error === undefined;
	}

	async commit(id: string): Promise<boolean> {
		const writes = this.#transaction?.writes ?? [];
		this.#recordRequest(id, 'COMMIT');
		this.#transaction = undefined;
		const response = await this.#query(id, 'COMMIT');
		this.#recordOutcome(writes, response);
		if (response && response.error === undefined) {
			this.#options.checker.checkResponse(id, response.signature, response.rows);
		}

		return response !== undefined && response.error === undefined;
	}

	async rollback(id: string): Promise<boolean> {
		this.#endTransaction('not-kept');
		const response = await this.#query(id, 'ROLLBACK');
		return response !== undefined && response.error === undefined;
	}

	/** Runs a statement that the entry host answers without a backend server. */
	async #command(text: string): Promise<boolean> {
		const response = await this.#query('own', text);
		return response !== undefined && response.error === undefined;
	}

	/** Runs a read or a write, through a prepared statement in about half of the cases where one matches. */
	async #execute(id: string, text: string): Promise<Response | undefined> {
		const [word] = line.split(text, 1);
		const [name, template] = [...this.#prepared].find(([, prepared]) => prepared.startsWith(`${word} `)) ?? [];
		const isPrepared = name !== undefined && template !== undefined && this.#options.random.integer(0, 1) === 0;
		this.#recordRequest(id, isPrepared ? `${template} 7 x` : text);
		const response = await this.#query(id, isPrepared ? `EXECUTE ${name} 7 x` : text);
		if (response && response.error === undefined) {
			this.#options.checker.checkResponse(id, response.signature, response.rows);
		}

		return response;
	}

	#recordRequest(id: string, text: string): void {
		const {checker, route, clock: time, customer} = this.#options;
		const sentAt = this.#transaction?.sentAt ?? time.now();
		customer?.all.recordRequest({
			id, operation: this.#transaction?.id ?? id, customer: customer.index, key: this.#key, host: this.#host, sentAt,
		});
		checker.recordRequest({
			id, text, guarantee: route.guarantee, sentAt, values: new Map(this.#values), ownWrites: [...this.#ownWrites],
		});
	}

	#recordOutcome(ids: readonly string[], response: Response | undefined): void {
		const {checker} = this.#options;
		if (!response) {
			checker.recordOutcome('', ids, 'unknown');
		} else if (response.error === undefined) {
			this.#ownWrites.push(...ids);
			checker.recordOutcome(checkers.groupOf(response.signature), ids, 'acknowledged');
		} else {
			checker.recordOutcome('', ids, notAppliedCodes.has(response.error) ? 'not-kept' : 'unknown');
		}
	}

	/** Ends a transaction whose `COMMIT` was never sent: none of its writes may take effect. */
	#endTransaction(outcome: checkers.Outcome): void {
		this.#options.checker.recordOutcome('', this.#transaction?.writes ?? [], outcome);
		this.#transaction = undefined;
	}

	async #query(id: string, text: string): Promise<Response | undefined> {
		const {clock: time, unanswered, route, scopes} = this.#options;
		const request = {
			id, host: this.#host, sentAt: time.now(), timeoutMs: route.timeoutMs, scopes: [...scopes, `host ${this.#host}` as const],
		};
		const wasOpen = this.#isOpen;
		if (wasOpen) {
			unanswered.send(request);
		}

		this.#socket.write(`QUERY ${id} ${text}\r\n`);
		const rows: string[] = [];
		let signature = '';
		let error: string | undefined;
		for (let received = await this.#readLine(); received !== undefined; received = await this.#readLine()) {
			const [word, first = ''] = line.split(received, 2);
			if (word === 'READY') {
				return {
					rows, signature, error, state: first,
				};
			}

			if (word === 'ERROR') {
				error = first;
			} else if (word === 'COMPLETE') {
				signature = received.slice('COMPLETE '.length);
			} else {
				rows.push(received.slice('DATAROW '.length));
			}
		}

		if (wasOpen && this.#endedAt !== undefined) {
			unanswered.end(request, this.#endedAt);
		}

		this.close();
		return undefined;
	}

	async #readLine(): Promise<string | undefined> {
		const end = this.#options.clock.now() + responseTimeoutMs;
		while (this.#lines.length === 0 && this.#isOpen && this.#options.clock.now() < end) {
			await this.#options.clock.limit(new Promise<void>(resolve => {
				this.#onLine = resolve;
			}), end - this.#options.clock.now());
		}

		return this.#lines.shift();
	}
}
