/**
A service of backend servers, as PROTOCOL.md describes it: a primary with its replicas, a log with terms, connections with
transactions, values and prepared names. Every statement that runs is recorded.
*/
import {Buffer} from 'node:buffer';
import * as net from 'node:net';

const drainMs = 300;

/** Splits a stream of bytes into lines that end with CR LF. */
export class Lines {
	#held = [];
	#lastByte = 0;

	push(chunk) {
		const isSplit = this.#lastByte === 0x0D && chunk[0] === 0x0A;
		this.#lastByte = chunk.at(-1);
		this.#held.push(chunk);
		if (!isSplit && !chunk.includes('\r\n')) {
			return [];
		}

		const parts = Buffer.concat(this.#held).toString('latin1').split('\r\n');
		const rest = parts.pop();
		this.#held = rest === '' ? [] : [Buffer.from(rest, 'latin1')];
		return parts;
	}
}

/** One server: its log position, its term and its connections. */
class Server {
	id;
	zone;
	role = 'replica';
	term = 1;
	/** Log that was received, with the time from which each entry is applied. */
	log = [];
	heldTerm = 0;
	/** Time in ms from the receipt of an entry until it is applied. */
	lagMs = 20;
	isRunning = true;
	born = Date.now();
	address = '';
	sockets = new Set();
	sequence = 0;

	constructor(id, zone) {
		this.id = id;
		this.zone = zone;
	}

	get received() {
		return `${this.log.at(-1)?.term ?? 1}.${this.log.length}`;
	}

	/** Entries that are applied: those of a primary at once. */
	get applied() {
		const now = performance.now();
		const count = this.role === 'primary' ? this.log.length : this.log.findLastIndex(({at}) => at <= now) + 1;
		return this.log.slice(0, count);
	}

	get position() {
		const {applied} = this;
		return `${applied.at(-1)?.term ?? 1}.${applied.length}`;
	}
}

/** A service with its servers. */
export class Group {
	name;
	servers;
	maxConnections;
	workMs;
	slots;
	/** Every statement that ran: {id, text, server, position, at}. */
	runs = [];
	/** Decides what becomes of a statement before it runs; 'hold' leaves it without an answer. */
	treat = () => 'well';
	#store;
	#listeners = [];
	#timer;

	constructor(name, zones, {store, maxConnections = 16, slots = 2, workMs = 3}) {
		this.name = name;
		this.#store = store;
		this.maxConnections = maxConnections;
		this.slots = slots;
		this.workMs = workMs;
		this.servers = zones.map((zone, index) => new Server(`i-${name}${index}`, zone));
		this.servers[0].role = 'primary';
	}

	get primary() {
		return this.servers.find(({role}) => role === 'primary');
	}

	/** Listens on loopback addresses, and registers the servers in the store. */
	async start(host) {
		for (const server of this.servers) {
			const listener = net.createServer({noDelay: true}, socket => {
				this.#accept(server, socket);
			});
			this.#listeners.push(listener);
			await new Promise(resolve => {
				listener.listen(0, host, resolve);
			});
			server.address = `${host}:${listener.address().port}`;
		}

		this.#beat();
		this.#timer = setInterval(() => {
			this.#beat();
		}, 1200);
	}

	/** Writes the entry of a server, as its heartbeat does. */
	register(server) {
		server.sequence++;
		const {address, zone, sequence, born} = server;
		this.#store.put('servers', server.id, {
			service: this.name, address, zone, version: 'v1', slots: this.slots, state: 'ready', coldRemainingMs: 0, dbRole: server.role, sequence, born,
		});
	}

	/** Ends a server's process: its connections are reset, and it accepts none. */
	crash(server) {
		server.isRunning = false;
		for (const socket of server.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Makes a server lead the next term with what it has received. */
	promote(id) {
		const server = this.servers.find(other => other.id === id);
		if (!server?.isRunning) {
			return false;
		}

		if (server.role === 'primary') {
			return true;
		}

		setTimeout(() => {
			for (const other of this.servers) {
				other.role = other === server ? 'primary' : 'replica';
				other.heldTerm = 0;
				other.log = other === server ? other.log : server.log.map(entry => ({...entry}));
			}

			server.term = Math.max(...this.servers.map(({term}) => term)) + 1;
			for (const other of this.servers) {
				other.term = server.term;
				this.register(other);
			}
		}, drainMs);
		return true;
	}

	close() {
		clearInterval(this.#timer);
		for (const listener of this.#listeners) {
			listener.close();
		}

		for (const server of this.servers) {
			for (const socket of server.sockets) {
				socket.destroy();
			}
		}
	}

	/** Appends an entry to the primary's log; the replicas receive it at once and apply it after their lag. */
	commit(server, writes) {
		const entry = {term: server.term, writes, at: performance.now()};
		server.log.push(entry);
		for (const replica of this.servers) {
			if (replica !== server && replica.isRunning && replica.heldTerm <= server.term) {
				replica.log.push({...entry, at: performance.now() + replica.lagMs});
			}
		}

		return `${server.term}.${server.log.length}`;
	}

	#beat() {
		for (const server of this.servers) {
			if (server.isRunning) {
				this.register(server);
			}
		}
	}

	#accept(server, socket) {
		socket.on('error', () => {
			socket.destroy();
		});
		if (!server.isRunning) {
			socket.resetAndDestroy();
			return;
		}

		server.sockets.add(socket);
		socket.on('close', () => {
			server.sockets.delete(socket);
		});
		const session = new Session(this, server, socket);
		const lines = new Lines();
		const waiting = [];
		let isBusy = false;
		socket.on('data', async chunk => {
			waiting.push(...lines.push(chunk));
			if (isBusy) {
				return;
			}

			isBusy = true;
			while (waiting.length > 0) {
				await session.handle(waiting.shift());
			}

			isBusy = false;
		});
	}
}

/** A connection to one server. */
class Session {
	#group;
	#server;
	#socket;
	#values = new Map();
	#prepared = new Map();
	#transaction;

	constructor(group, server, socket) {
		this.#group = group;
		this.#server = server;
		this.#socket = socket;
	}

	async handle(text) {
		const [word] = text.split(' ', 1);
		if (word === 'STARTUP') {
			this.#startUp(text);
			return;
		}

		if (word !== 'QUERY') {
			this.#socket.end();
			return;
		}

		const idEnd = text.indexOf(' ', 6);
		const id = text.slice(6, idEnd);
		const response = await this.#query(id, text.slice(idEnd + 1));
		if (response) {
			this.#send(`${response}${this.#ready()}`);
		}
	}

	#startUp(text) {
		const [, service, , id] = text.split(' ');
		if (service !== this.#group.name || (id !== undefined && id !== this.#server.id)) {
			this.#socket.end(`ERROR WRONGNODE ${this.#server.id}\r\n`);
		} else if (this.#server.sockets.size > this.#group.maxConnections) {
			this.#socket.end(`ERROR CONNLIMIT ${this.#server.id}\r\n`);
		} else {
			this.#send(this.#ready());
		}
	}

	#send(text) {
		if (this.#socket.writable) {
			this.#socket.write(text, 'latin1');
		}
	}

	#ready() {
		return `READY ${this.#transaction ? 'T' : 'I'} ${this.#server.position}\r\n`;
	}

	async #query(id, text) {
		const [word, first = ''] = text.split(' ', 2);
		if (word === 'MINLSN') {
			const [minTerm, minIndex] = first.split('.').map(Number);
			const [term, index] = this.#server.position.split('.').map(Number);
			const rest = text.slice(word.length + first.length + 2);
			return term < minTerm || (term === minTerm && index < minIndex) ? `ERROR LAGGING ${this.#server.id}\r\n` : this.#query(id, rest);
		}

		const isPrimary = this.#server.role === 'primary';
		switch (word) {
			case 'RESET': {
				this.#values.clear();
				this.#prepared.clear();
				return 'COMPLETE -\r\n';
			}

			case 'SET': {
				this.#values.set(first, text);
				return 'COMPLETE -\r\n';
			}

			case 'PREPARE': {
				this.#prepared.set(first, text.split(' ').slice(2).join(' '));
				return 'COMPLETE -\r\n';
			}

			case 'CLOSE': {
				this.#prepared.delete(first);
				return 'COMPLETE -\r\n';
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				return this.#control(word, Number(first));
			}

			case 'BEGIN': {
				if (text === 'BEGIN' && !isPrimary) {
					return `ERROR READONLY ${this.#server.id}\r\n`;
				}

				this.#transaction = {isPlain: text === 'BEGIN', writes: []};
				return 'COMPLETE -\r\n';
			}

			case 'ROLLBACK': {
				this.#transaction = undefined;
				return 'COMPLETE -\r\n';
			}

			case 'COMMIT': {
				return this.#commit(id);
			}

			default: {
				return this.#execute(id, text, word);
			}
		}
	}

	#control(word, term) {
		const server = this.#server;
		if (word === 'PAUSE' && server.role === 'replica' && term > server.term) {
			server.heldTerm = term;
		} else if (word === 'RESUME') {
			server.heldTerm = 0;
		} else if (word === 'STEPDOWN' && term > server.term) {
			server.role = 'replica';
		}

		return `DATAROW ${server.role} ${server.term} ${server.received} ${server.heldTerm} ${server.role === 'primary' ? 0 : server.lagMs} 0 ${server.sockets.size}\r\nCOMPLETE -\r\n`;
	}

	async #execute(id, text, word) {
		const server = this.#server;
		const [, name, ...parameters] = text.split(' ');
		const template = word === 'EXECUTE' ? this.#prepared.get(name) : undefined;
		if (word === 'EXECUTE' && template === undefined) {
			return `ERROR NOPREPARED ${name}\r\n`;
		}

		const isWrite = word === 'WRITE' || template?.startsWith('WRITE') === true;
		const treatment = await this.#group.treat({
			id, text, server, isWrite,
		});
		if (treatment === 'hold') {
			return undefined;
		}

		await new Promise(resolve => {
			setTimeout(resolve, this.#group.workMs);
		});
		if (server.role !== 'primary' && (isWrite || this.#transaction?.isPlain)) {
			return `ERROR READONLY ${server.id}\r\n`;
		}

		const run = {
			id, text: text.slice(0, 80), server: server.id, service: this.#group.name, position: server.position, at: performance.now(),
		};
		this.#group.runs.push(run);
		const signature = `${this.#group.name}.${server.id}.${id.slice(0, 40)}`;
		if (!isWrite) {
			const item = word === 'EXECUTE' ? parameters[0] : name;
			return `DATAROW ${findValue(server, item)}\r\nCOMPLETE ${signature}\r\n`;
		}

		const write = word === 'EXECUTE' ? {id, item: parameters[0], data: parameters.slice(1).join(' ')} : {id, item: name, data: parameters.join(' ')};
		if (this.#transaction) {
			this.#transaction.writes.push(write);
		} else {
			run.committed = this.#group.commit(server, [write]);
		}

		return `COMPLETE ${signature}\r\n`;
	}

	async #commit(id) {
		const transaction = this.#transaction;
		this.#transaction = undefined;
		if (!transaction) {
			return 'ERROR MALFORMED no transaction\r\n';
		}

		if (transaction.writes.length > 0) {
			if (this.#server.role !== 'primary') {
				return `ERROR READONLY ${this.#server.id}\r\n`;
			}

			this.#group.commit(this.#server, transaction.writes);
		}

		return `COMPLETE ${this.#group.name}.${this.#server.id}.${id.slice(0, 40)}\r\n`;
	}
}

/** The value of an item in what a server has applied. */
function findValue(server, item) {
	return server.applied.flatMap(({writes}) => writes).findLast(write => write.item === item)?.data ?? 'none';
}
