/**
A backend server that speaks the line protocol for one server of a replicated group: execution slots, a connection limit,
transactions, session variables, prepared statements, and lost responses.
*/
import * as net from 'node:net';
import * as line from '../platform/line.js';
import * as semaphore from '../standin/semaphore.js';
import * as position from '../core/position.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as replicated from './replicated.js';
import type * as checkers from './checker.js';
import type * as soakCustomers from './customers.js';
import type * as requests from './unanswered.js';

export type Options = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly checker: checkers.Checker;
	readonly unanswered: requests.Unanswered;
	readonly customers: soakCustomers.Customers | undefined;
};

/** Limits of one server. A statement takes a random time of up to `maxWorkMs`. */
export type Limits = {readonly connections: number; readonly slots: number; readonly maxWorkMs: number};

const maxSlotWaitMs = 300;
/** Begin of a read whose reply has a further row of as many bytes as the number after it. */
const paddedRead = 'READ pad ';

/** Accepts the connections of one server. */
export class Listener {
	readonly #options: Options;
	readonly #limits: Limits;
	readonly #group: replicated.Group;
	#server: replicated.Server;
	readonly #slots: semaphore.Semaphore;
	readonly #sockets = new Set<net.Socket>();
	readonly #listener = net.createServer({noDelay: true}, socket => {
		void this.#accept(socket);
	});

	constructor(options: Options, limits: Limits, group: replicated.Group, server: replicated.Server) {
		this.#options = options;
		this.#limits = limits;
		this.#group = group;
		this.#server = server;
		this.#slots = new semaphore.Semaphore(limits.slots);
	}

	/** Listens on a free port and returns it. */
	async listen(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#listener.listen(0, '127.0.0.1', resolve);
		});
		return (this.#listener.address() as net.AddressInfo).port;
	}

	/** Resets all connections; their open transactions are rolled back. */
	crash(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Serves for another server at the same address from now on. */
	replace(server: replicated.Server): void {
		this.crash();
		this.#server = server;
	}

	close(): void {
		this.crash();
		this.#listener.close();
	}

	async #accept(socket: net.Socket): Promise<void> {
		this.#sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		if (this.#server.isUnresponsive) {
			socket.resetAndDestroy();
			return;
		}

		const connection = new Connection(socket, this.#options, {
			group: this.#group, server: this.#server, slots: this.#slots, maxWorkMs: this.#limits.maxWorkMs, isFull: () => this.#sockets.size > this.#limits.connections,
		});
		await connection.run();
	}
}

type Context = {
	readonly group: replicated.Group;
	readonly server: replicated.Server;
	readonly slots: semaphore.Semaphore;
	readonly maxWorkMs: number;
	readonly isFull: () => boolean;
};
type Transaction = {readonly isReadWrite: boolean; readonly writes: Array<{id: string; text: string}>; hasFailed: boolean};
type Response = {readonly rows?: readonly string[]; readonly signature?: string; readonly error?: string};

class Connection {
	readonly #socket: net.Socket;
	readonly #options: Options;
	readonly #context: Context;
	readonly #splitter = new line.Splitter();
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, string>();
	#transaction: Transaction | undefined;
	/** Customer named at the opening of the connection. */
	#customer = '';

	constructor(socket: net.Socket, options: Options, context: Context) {
		this.#socket = socket;
		this.#options = options;
		this.#context = context;
	}

	/** Handles lines in order until the connection ends. */
	async run(): Promise<void> {
		try {
			for await (const chunk of this.#socket) {
				for (const text of this.#splitter.push(chunk as Uint8Array) ?? []) {
					await this.#handle(text);
				}
			}
		} catch {
			// A reset ends the connection like a close: the open transaction is rolled back.
		}
	}

	async #handle(text: string): Promise<void> {
		const {server, isFull} = this.#context;
		const [word, first, rest = ''] = line.split(text, 2);
		if (word === 'STARTUP') {
			[this.#customer] = line.split(rest, 1);
			const isWrongServer = first !== this.#context.group.name || !rest.endsWith(` ${server.id}`);
			if (isWrongServer || isFull()) {
				this.#socket.end(`ERROR ${isWrongServer ? 'WRONGNODE' : 'CONNLIMIT'} ${server.id}\r\n`);
			} else {
				this.#send(this.#readyLine());
			}
		} else if (word === 'QUERY') {
			this.#options.unanswered.arrive(first ?? '');
			const response = await this.#query(first ?? '', rest);
			this.#options.unanswered.finish(first ?? '');
			const isLost = first !== '-' && this.#options.random.integer(0, 999) < server.lossRate * 1000;
			if (isLost || server.isUnresponsive) {
				this.#socket.resetAndDestroy();
			} else {
				const rows = (response.rows ?? []).map(row => `DATAROW ${row}\r\n`).join('');
				this.#send(`${rows}${response.error ? `ERROR ${response.error}` : `COMPLETE ${response.signature ?? '-'}`}\r\n${this.#readyLine()}`);
			}
		}
	}

	#send(text: string): void {
		if (this.#socket.writable) {
			this.#socket.write(text, line.encoding);
		}
	}

	#readyLine(): string {
		const {end} = this.#context.server;
		const state = this.#transaction ? 'T' : 'I';
		return `READY ${this.#transaction?.hasFailed ? 'E' : state} ${end.term}.${end.index}\r\n`;
	}

	async #query(id: string, text: string): Promise<Response> {
		const {server} = this.#context;
		const [word, positionText, rest = ''] = line.split(text, 2);
		if (word === 'MINLSN') {
			const minPosition = line.parsePosition(positionText ?? '');
			return minPosition && position.compare(server.end, minPosition) < 0 ? {error: `LAGGING ${server.id}`} : this.#execute(id, rest);
		}

		return this.#execute(id, text);
	}

	async #execute(id: string, text: string): Promise<Response> {
		const {server} = this.#context;
		const [word = '', name = '', rest = ''] = line.split(text, 2);
		switch (word) {
			case 'RESET': {
				this.#values.clear();
				this.#prepared.clear();
				return {};
			}

			case 'SET': {
				this.#values.set(name, rest);
				return {};
			}

			case 'PREPARE': {
				this.#prepared.set(name, rest);
				return {};
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				return this.#control(word, Number(name));
			}

			case 'BEGIN': {
				if (text === 'BEGIN' && server.role !== 'primary') {
					return {error: `READONLY ${server.id}`};
				}

				this.#transaction = {isReadWrite: text === 'BEGIN', writes: [], hasFailed: false};
				return {};
			}

			case 'ROLLBACK': {
				this.#transaction = undefined;
				return {};
			}

			case 'COMMIT': {
				return this.#commit(id);
			}

			case 'EXECUTE': {
				const template = this.#prepared.get(name);
				return template === undefined ? {error: `NOPREPARED ${name}`} : this.#executeStatement(id, `${template} ${rest}`);
			}

			default: {
				return this.#executeStatement(id, text);
			}
		}
	}

	async #control(word: string, term: number): Promise<Response> {
		const {server, group} = this.#context;
		const release = await this.#acquireSlot();
		if (!release) {
			return {error: `BUSY ${server.id}`};
		}

		release();
		if (word === 'PAUSE' && server.role === 'replica') {
			server.heldTerm = Math.max(server.heldTerm, term);
		} else if (word === 'RESUME') {
			server.heldTerm = 0;
		} else if (word === 'STEPDOWN' && server.role === 'primary' && term > server.term) {
			group.stepDown(server);
		}

		const {end, role, heldTerm} = server;
		return {rows: [`${role} ${server.term} ${end.term}.${end.index} ${heldTerm} ${server.lagMs} 0 1`]};
	}

	/** Waits for a slot, and for the end of a rollback. Returns the function that releases the slot; `undefined` if the wait is too long. */
	async #acquireSlot(): Promise<(() => void) | undefined> {
		const {server, slots} = this.#context;
		const startedAt = this.#options.clock.now();
		const release = await slots.acquire(maxSlotWaitMs);
		const remainingMs = server.rollsBackUntil - this.#options.clock.now();
		if (release && remainingMs > 0) {
			await this.#options.clock.sleep(Math.min(remainingMs, startedAt + maxSlotWaitMs - this.#options.clock.now()));
			if (server.rollsBackUntil > this.#options.clock.now()) {
				release();
				return undefined;
			}
		}

		return release;
	}

	async #executeStatement(id: string, text: string): Promise<Response> {
		const {server, maxWorkMs} = this.#context;
		if (this.#transaction?.hasFailed) {
			return {error: 'MALFORMED the transaction has failed'};
		}

		const release = await this.#acquireSlot();
		if (!release) {
			return {error: `BUSY ${server.id}`};
		}

		await this.#options.clock.sleep(this.#options.random.integer(1, maxWorkMs));
		release();
		const isWrite = text.startsWith('WRITE ');
		if (server.role !== 'primary' && (isWrite || this.#transaction?.isReadWrite)) {
			return this.#fail(`READONLY ${server.id}`);
		}

		this.#options.customers?.recordExecution(id, this.#customer);
		const signature = this.#options.checker.recordExecution(id, text, {server, values: this.#values, isWrite});
		if (!isWrite) {
			return {rows: text.startsWith(paddedRead) ? [signature, 'x'.repeat(Number(text.slice(paddedRead.length)))] : [signature], signature};
		}

		if (this.#transaction) {
			this.#transaction.writes.push({id, text});
			return {rows: [], signature};
		}

		return await this.#context.group.commit(server, [{id, text}]) ? {signature} : {error: `TIMEOUT ${server.id}`};
	}

	async #commit(id: string): Promise<Response> {
		const {server, group} = this.#context;
		const transaction = this.#transaction;
		this.#transaction = undefined;
		if (!transaction || transaction.hasFailed) {
			return {error: 'MALFORMED no transaction'};
		}

		this.#options.customers?.recordExecution(id, this.#customer);
		const signature = this.#options.checker.recordExecution(id, 'COMMIT', {server, values: this.#values, isWrite: false});
		if (transaction.writes.length === 0) {
			return {signature};
		}

		if (server.role !== 'primary') {
			return {error: `READONLY ${server.id}`};
		}

		return await group.commit(server, transaction.writes) ? {signature} : {error: `TIMEOUT ${server.id}`};
	}

	#fail(error: string): Response {
		if (this.#transaction) {
			this.#transaction.hasFailed = true;
		}

		return {error};
	}
}
