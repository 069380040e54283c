/**
Stand-ins for the servers of one database service: a primary, replicas that receive its log over the network, commits that
are acknowledged once a replica has received them, and the statements of the wire.
*/
import * as net from 'node:net';
import * as clock from './clock.js';
import * as line from './line.js';

/** Time between two transfers to a replica that has fallen behind. */
const catchUpMs = 100;
/** Time that a server without a log needs to receive the whole log. */
const transferMs = 1500;
const commitTimeoutMs = 5000;
const slotWaitMs = 300;

let bornOffset = 0;

/** A server. It keeps its listener while its process is down, and answers nothing then. */
export class Server {
	id;
	zone;
	address = '';
	isRunning = true;
	isPrimary = false;
	lastBeatAt = 0;
	state = 'ready';
	term = 1;
	heldTerm = 0;
	/** Committed transactions in order: the term, and the ids of their writes. */
	log = [];
	/** Time until a commit of the primary has been received. */
	delayMs = 8;
	/** The server receives nothing. */
	isDeaf = false;
	born;
	/** Time until which a server that started without a log waits for the transfer. */
	transferEndsAt = 0;
	sockets = new Set();
	busy = 0;

	constructor(id, zone) {
		this.id = id;
		this.zone = zone;
		this.renew();
	}

	/** A new start. */
	renew() {
		bornOffset++;
		this.born = Date.now() + bornOffset;
	}

	get position() {
		return {term: this.log.at(-1)?.term ?? this.term, number: this.log.length};
	}

	get positionText() {
		const {term, number} = this.position;
		return `${term}.${number}`;
	}
}

/** A service and its servers. */
export class Group {
	name;
	servers = [];
	/** Called after each promotion with the new primary. */
	onPromoted = () => undefined;
	/** Called with each statement of a client that is run; `shape` is that of a prepared statement. */
	onRun = () => undefined;
	/** Called with each EXECUTE of a name that isn't prepared. */
	onUnknown = () => undefined;
	/** Called with each change of a server's registration. */
	onRegistration = () => undefined;
	/** Called with each server that has left. */
	onLeft = () => undefined;
	/** Called with each new server. */
	onStarted = () => undefined;
	#limits;
	#record;
	#listeners = [];
	#isClosed = false;

	/** `limits`: `connections`, `slots`, `promoteMs`, `workMs` of the service. */
	constructor(name, limits, record) {
		this.name = name;
		this.#limits = limits;
		this.#record = record;
	}

	get primary() {
		return this.servers.find(({isPrimary}) => isPrimary);
	}

	/** Starts a server on a free port and registers it. */
	async add(id, zone, isPrimary) {
		const server = new Server(id, zone);
		server.isPrimary = isPrimary;
		server.term = Math.max(1, ...this.servers.map(({term}) => term));
		const listener = net.createServer({noDelay: true}, socket => {
			new Connection(socket, this, server, this.#limits).run();
		});
		await new Promise(resolve => {
			listener.listen(0, '127.0.0.1', resolve);
		});
		this.#listeners.push(listener);
		server.address = `127.0.0.1:${listener.address().port}`;
		this.servers.push(server);
		this.#replicate(server);
		this.register(server);
		this.onStarted(server);
		return server;
	}

	/** Writes the server's entry, as the server itself does at its start and at each change. */
	register(server) {
		this.#record.write(`server ${server.id}: ${server.state}, ${server.isPrimary ? 'primary' : 'replica'}, born ${server.born}, log ${server.positionText}`);
		this.onRegistration(server);
	}

	/** Ends a server's process. Its connections are reset, and their transactions are rolled back. */
	crash(server) {
		this.#end(server);
		this.#record.tell(`server ${server.id} crashes`);
	}

	/** Ends a server that has drained. Its log is gone with it. */
	leave(server) {
		this.#end(server);
		this.#record.tell(`server ${server.id} ends, as planned`);
		this.servers.splice(this.servers.indexOf(server), 1);
		this.onLeft(server);
	}

	/** Starts a crashed server again; without its log, it holds and knows nothing of before. */
	restart(server, {hasLog}) {
		if (!hasLog) {
			server.log = [];
			server.heldTerm = 0;
			server.isPrimary = false;
			server.transferEndsAt = clock.now() + transferMs;
		}

		server.heldTerm = 0;
		server.renew();
		server.isRunning = true;
		this.#record.tell(`server ${server.id} starts again ${hasLog ? 'with its log' : 'under its id, without a log'}`);
		this.register(server);
		setTimeout(() => {
			this.#transfer(server, this.primary?.log.length ?? 0);
		}, server.delayMs);
	}

	/** Designates a server. Some hundred ms later it leads the next term with what it had received. */
	promote(id) {
		const target = this.servers.find(server => server.id === id);
		if (!target?.isRunning) {
			return false;
		}

		if (!target.isPrimary) {
			setTimeout(() => {
				this.#lead(target);
			}, this.#limits.promoteMs);
		}

		return true;
	}

	/** Commits at the primary; true once a replica has received the commit, false if the server lost the lead. */
	async commit(server, writes) {
		const {term} = server;
		server.log.push({term, writes});
		const number = server.log.length;
		const entry = server.log.at(-1);
		for (const replica of this.servers) {
			if (replica !== server) {
				setTimeout(() => {
					this.#transfer(replica, number);
				}, replica.delayMs);
			}
		}

		const end = clock.now() + commitTimeoutMs;
		while (clock.now() < end && server.isRunning && server.isPrimary && server.term === term) {
			if (this.servers.some(other => other !== server && other.isRunning && other.log[number - 1] === entry)) {
				return true;
			}

			await clock.sleep(1);
		}

		return false;
	}

	close() {
		this.#isClosed = true;
		for (const listener of this.#listeners) {
			listener.close();
		}

		for (const server of this.servers) {
			for (const socket of server.sockets) {
				socket.destroy();
			}
		}
	}

	#end(server) {
		server.isRunning = false;
		for (const socket of server.sockets) {
			socket.resetAndDestroy();
		}
	}

	#lead(target) {
		if (!target.isRunning || this.#isClosed) {
			return;
		}

		const term = Math.max(...this.servers.map(server => server.term)) + 1;
		for (const server of this.servers) {
			const wasPrimary = server.isPrimary;
			server.isPrimary = server === target;
			server.heldTerm = 0;
			if (wasPrimary && server !== target && server.isRunning) {
				this.register(server);
			}
		}

		target.term = term;
		this.#record.tell(`server ${target.id} leads term ${term} with log ${target.positionText}`);
		this.onPromoted(target);
		this.register(target);
	}

	/** Gives a replica the primary's log up to `number`, unless it can't receive. */
	#transfer(replica, number) {
		const {primary} = this;
		if (!primary?.isRunning || !replica.isRunning || replica === primary || replica.isDeaf || replica.heldTerm > primary.term || clock.now() < replica.transferEndsAt) {
			return;
		}

		replica.term = primary.term;
		const count = Math.min(number, primary.log.length);
		// What the primary doesn't have is rolled back.
		const isPrefix = replica.log.length <= primary.log.length && replica.log.every((entry, index) => entry === primary.log[index]);
		if (!isPrefix) {
			replica.log = primary.log.slice(0, count);
		} else if (replica.log.length < count) {
			replica.log.push(...primary.log.slice(replica.log.length, count));
		}
	}

	/** Lets a replica catch up with what it could not receive at the time. */
	async #replicate(replica) {
		while (!this.#isClosed) {
			const number = this.primary?.log.length ?? 0;
			await clock.sleep(catchUpMs);
			this.#transfer(replica, number);
		}
	}
}

/** One connection to a server. */
class Connection {
	#socket;
	#group;
	#server;
	#limits;
	#values = new Map();
	#prepared = new Map();
	#transaction;
	#isStarted = false;

	constructor(socket, group, server, limits) {
		this.#socket = socket;
		this.#group = group;
		this.#server = server;
		this.#limits = limits;
	}

	async run() {
		const splitter = new line.Splitter();
		this.#socket.on('error', () => undefined);
		this.#server.sockets.add(this.#socket);
		this.#socket.on('close', () => {
			this.#server.sockets.delete(this.#socket);
		});
		if (!this.#server.isRunning) {
			this.#socket.resetAndDestroy();
			return;
		}

		try {
			for await (const chunk of this.#socket) {
				for (const text of splitter.push(chunk)) {
					await this.#handle(text);
				}
			}
		} catch {
			// A reset rolls back the open transaction, like a close.
		}
	}

	async #handle(text) {
		const [word, first, rest = ''] = line.split(text, 2);
		if (word === 'STARTUP') {
			await this.#start(first, rest);
		} else if (word === 'QUERY' && this.#isStarted) {
			const {rows = [], signature = '-', error} = await this.#query(first, rest);
			if (this.#socket.writable && this.#server.isRunning) {
				const state = this.#transaction ? 'T' : 'I';
				const end = error === undefined ? `COMPLETE ${signature}` : `ERROR ${error}`;
				this.#socket.write(`${rows.map(row => `DATAROW ${row}\r\n`).join('')}${end}\r\nREADY ${this.#transaction?.hasFailed ? 'E' : state} ${this.#server.positionText}\r\n`);
			}
		} else {
			this.#socket.end();
		}
	}

	async #start(service, rest) {
		const [, id] = rest.split(' ');
		if (service !== this.#group.name || (id !== undefined && id !== this.#server.id)) {
			this.#socket.end(`ERROR WRONGNODE ${this.#server.id}\r\n`);
		} else if (this.#server.sockets.size > this.#limits.connections) {
			this.#socket.end(`ERROR CONNLIMIT ${this.#server.id}\r\n`);
		} else {
			this.#isStarted = true;
			await clock.sleep(this.#limits.connectMs);
			this.#socket.write(`READY I ${this.#server.positionText}\r\n`);
		}
	}

	async #query(id, text) {
		const [word, name, rest = ''] = line.split(text, 2);
		if (word === 'MINLSN') {
			return line.compare(this.#server.position, line.parsePosition(name)) < 0 ? {error: `LAGGING ${this.#server.id}`} : this.#execute(id, rest);
		}

		return this.#execute(id, text);
	}

	async #execute(id, text) {
		const server = this.#server;
		const [word, name = '', rest = ''] = line.split(text, 2);
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
				const [mode, shape] = line.split(rest, 1);
				if ((mode !== 'READ' && mode !== 'WRITE') || shape === undefined) {
					return {error: 'MALFORMED PREPARE'};
				}

				this.#prepared.set(name, {mode, shape});
				return {};
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				return this.#control(word, Number(name));
			}

			case 'BEGIN': {
				if (text === 'BEGIN' && !server.isPrimary) {
					return {error: `READONLY ${server.id}`};
				}

				this.#transaction = {isPlain: text === 'BEGIN', writes: [], hasFailed: false};
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
				const prepared = this.#prepared.get(name);
				if (prepared === undefined) {
					this.#group.onUnknown({id, text, server});
					return {error: `NOPREPARED ${name}`};
				}

				return this.#runStatement(id, `${prepared.mode} ${rest}`, prepared.shape);
			}

			default: {
				return this.#runStatement(id, text);
			}
		}
	}

	#control(word, term) {
		const server = this.#server;
		if (word === 'PAUSE' && !server.isPrimary && term > server.term) {
			server.heldTerm = Math.max(server.heldTerm, term);
		} else if (word === 'RESUME') {
			server.heldTerm = 0;
		}

		return {rows: [`${server.isPrimary ? 'primary' : 'replica'} ${server.term} ${server.positionText} ${server.heldTerm} 0 ${server.busy} ${server.sockets.size}`]};
	}

	async #work() {
		const server = this.#server;
		if (!await clock.until(() => server.busy < this.#limits.slots, slotWaitMs)) {
			return false;
		}

		server.busy++;
		await clock.sleep(this.#limits.workMs);
		server.busy--;
		return true;
	}

	async #runStatement(id, text, shape) {
		const server = this.#server;
		if (this.#transaction?.hasFailed) {
			return {error: 'MALFORMED the transaction has failed'};
		}

		if (!await this.#work()) {
			return {error: `BUSY ${server.id}`};
		}

		const isWrite = text.startsWith('WRITE ');
		if (!server.isPrimary && (isWrite || this.#transaction?.isPlain)) {
			if (this.#transaction) {
				this.#transaction.hasFailed = true;
			}

			return {error: `READONLY ${server.id}`};
		}

		const signature = `${server.id}.${id}`;
		this.#group.onRun({
			id, text, shape, server, values: this.#values,
		});
		if (!isWrite) {
			return {rows: [signature], signature};
		}

		if (this.#transaction) {
			this.#transaction.writes.push(id);
			return {signature};
		}

		return await this.#group.commit(server, [id]) ? {signature} : {error: `TIMEOUT ${server.id}`};
	}

	async #commit(id) {
		const server = this.#server;
		const transaction = this.#transaction;
		if (!transaction || transaction.hasFailed) {
			this.#transaction = undefined;
			return {error: 'MALFORMED no transaction that can commit'};
		}

		if (!await this.#work()) {
			return {error: `BUSY ${server.id}`};
		}

		this.#transaction = undefined;
		const signature = `${server.id}.${id}`;
		this.#group.onRun({
			id, text: 'COMMIT', server, values: this.#values,
		});
		if (transaction.writes.length === 0) {
			return {signature};
		}

		if (!server.isPrimary) {
			return {error: `READONLY ${server.id}`};
		}

		return await this.#group.commit(server, transaction.writes) ? {signature} : {error: `TIMEOUT ${server.id}`};
	}
}
