/**
A backend server that speaks the line protocol, in front of one replica of a group: slots, a connection limit,
transactions, values and prepared statements, and answers that get lost.
*/
import * as net from 'node:net';
import * as line from '../platform/line.js';
import * as lock from '../standin/lock.js';
import * as position from '../core/position.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as replicated from './replicated.js';
import type * as judges from './judge.js';

/** What servers share. */
export type Parts = {readonly clock: clock.Clock; readonly random: random.Source; readonly judge: judges.Judge};

/** Limits of one server. */
export type Limits = {readonly connections: number; readonly slots: number; readonly workMs: number};

/** Longest time in ms that a statement waits for a slot. */
const slotWaitMs = 300;

/** Listens for one server. */
export class Listener {
	readonly #parts: Parts;
	readonly #limits: Limits;
	readonly #group: replicated.Group;
	readonly #server: replicated.Server;
	readonly #slots: lock.Lock;
	readonly #sockets = new Set<net.Socket>();
	readonly #listener = net.createServer({noDelay: true}, socket => {
		void this.#accept(socket);
	});

	constructor(parts: Parts, limits: Limits, group: replicated.Group, server: replicated.Server) {
		this.#parts = parts;
		this.#limits = limits;
		this.#group = group;
		this.#server = server;
		this.#slots = new lock.Lock(limits.slots);
	}

	/** Listens on a free port and gives it. */
	async listen(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#listener.listen(0, '127.0.0.1', resolve);
		});
		return (this.#listener.address() as net.AddressInfo).port;
	}

	/** Ends every connection; what runs on them is rolled back. */
	crash(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
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
		if (this.#server.isDark) {
			socket.resetAndDestroy();
			return;
		}

		const conversation = new Conversation(socket, this.#parts, {
			group: this.#group, server: this.#server, slots: this.#slots, workMs: this.#limits.workMs, isFull: () => this.#sockets.size > this.#limits.connections,
		});
		await conversation.run();
	}
}

type Context = {
	readonly group: replicated.Group;
	readonly server: replicated.Server;
	readonly slots: lock.Lock;
	readonly workMs: number;
	readonly isFull: () => boolean;
};
type Open = {readonly isPlain: boolean; readonly writes: Array<{id: string; text: string}>; hasFailed: boolean};
type Answer = {readonly rows?: readonly string[]; readonly signature?: string; readonly error?: string};

/** One connection. */
class Conversation {
	readonly #socket: net.Socket;
	readonly #parts: Parts;
	readonly #context: Context;
	readonly #splitter = new line.Splitter();
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, string>();
	#open: Open | undefined;

	constructor(socket: net.Socket, parts: Parts, context: Context) {
		this.#socket = socket;
		this.#parts = parts;
		this.#context = context;
	}

	/** Answers each line in order until the connection ends. */
	async run(): Promise<void> {
		try {
			for await (const chunk of this.#socket) {
				for (const text of this.#splitter.push(chunk as Uint8Array) ?? []) {
					await this.#take(text);
				}
			}
		} catch {
			// A reset ends the connection like a close, and rolls back.
		}
	}

	async #take(text: string): Promise<void> {
		const {server, isFull} = this.#context;
		const [word, first, rest = ''] = line.split(text, 2);
		if (word === 'STARTUP') {
			const isWrong = first !== this.#context.group.name || !rest.endsWith(` ${server.id}`);
			if (isWrong || isFull()) {
				this.#socket.end(`ERROR ${isWrong ? 'WRONGNODE' : 'CONNLIMIT'} ${server.id}\r\n`);
			} else {
				this.#send(this.#ready());
			}
		} else if (word === 'QUERY') {
			const answer = await this.#query(first ?? '', rest);
			const isLost = first !== '-' && this.#parts.random.integer(0, 999) < server.lostShare * 1000;
			if (isLost || server.isDark) {
				this.#socket.resetAndDestroy();
			} else {
				const rows = (answer.rows ?? []).map(row => `DATAROW ${row}\r\n`).join('');
				this.#send(`${rows}${answer.error ? `ERROR ${answer.error}` : `COMPLETE ${answer.signature ?? '-'}`}\r\n${this.#ready()}`);
			}
		}
	}

	#send(text: string): void {
		if (this.#socket.writable) {
			this.#socket.write(text, line.encoding);
		}
	}

	#ready(): string {
		const {end} = this.#context.server;
		const state = this.#open ? 'T' : 'I';
		return `READY ${this.#open?.hasFailed ? 'E' : state} ${end.term}.${end.index}\r\n`;
	}

	async #query(id: string, text: string): Promise<Answer> {
		const {server} = this.#context;
		const [word, floorText, rest = ''] = line.split(text, 2);
		if (word === 'MINLSN') {
			const floor = line.parsePosition(floorText ?? '');
			return floor && position.compare(server.end, floor) < 0 ? {error: `LAGGING ${server.id}`} : this.#execute(id, rest);
		}

		return this.#execute(id, text);
	}

	async #execute(id: string, text: string): Promise<Answer> {
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
				return this.#order(word, Number(name));
			}

			case 'BEGIN': {
				if (text === 'BEGIN' && server.role !== 'primary') {
					return {error: `READONLY ${server.id}`};
				}

				this.#open = {isPlain: text === 'BEGIN', writes: [], hasFailed: false};
				return {};
			}

			case 'ROLLBACK': {
				this.#open = undefined;
				return {};
			}

			case 'COMMIT': {
				return this.#commit(id);
			}

			case 'EXECUTE': {
				const shape = this.#prepared.get(name);
				return shape === undefined ? {error: `NOPREPARED ${name}`} : this.#statement(id, `${shape} ${rest}`);
			}

			default: {
				return this.#statement(id, text);
			}
		}
	}

	#order(word: string, term: number): Answer {
		const {server} = this.#context;
		if (word === 'PAUSE' && server.role === 'replica') {
			server.heldTerm = Math.max(server.heldTerm, term);
		} else if (word === 'RESUME') {
			server.heldTerm = 0;
		}

		const {end, role, heldTerm} = server;
		return {rows: [`${role} ${server.term} ${end.term}.${end.index} ${heldTerm} ${server.lagMs} 0 1`]};
	}

	async #statement(id: string, text: string): Promise<Answer> {
		const {server, slots, workMs} = this.#context;
		if (this.#open?.hasFailed) {
			return {error: 'MALFORMED the transaction has failed'};
		}

		const release = await slots.acquire(slotWaitMs);
		if (!release) {
			return {error: `BUSY ${server.id}`};
		}

		await this.#parts.clock.sleep(this.#parts.random.integer(1, workMs));
		release();
		const isWrite = text.startsWith('WRITE ');
		if (server.role !== 'primary' && (isWrite || this.#open?.isPlain)) {
			return this.#fail(`READONLY ${server.id}`);
		}

		const signature = this.#parts.judge.ran(id, text, {server, values: this.#values, isWrite});
		if (!isWrite) {
			return {rows: [signature], signature};
		}

		if (this.#open) {
			this.#open.writes.push({id, text});
			return {rows: [], signature};
		}

		return await this.#context.group.commit(server, [{id, text}]) ? {signature} : {error: `TIMEOUT ${server.id}`};
	}

	async #commit(id: string): Promise<Answer> {
		const {server, group} = this.#context;
		const open = this.#open;
		this.#open = undefined;
		if (!open || open.hasFailed) {
			return {error: 'MALFORMED no transaction'};
		}

		const signature = this.#parts.judge.ran(id, 'COMMIT', {server, values: this.#values, isWrite: false});
		if (open.writes.length === 0) {
			return {signature};
		}

		if (server.role !== 'primary') {
			return {error: `READONLY ${server.id}`};
		}

		return await group.commit(server, open.writes) ? {signature} : {error: `TIMEOUT ${server.id}`};
	}

	#fail(error: string): Answer {
		if (this.#open) {
			this.#open.hasFailed = true;
		}

		return {error};
	}
}
