/**
Stand-ins for the servers of one service: a primary and replicas that receive its commits. Each is a listener on a loopback
address that speaks the line protocol, with a limit on connections. A commit is acknowledged once one replica has received it.
The text of a read says how large its answer is: `READ ITEM` has one row, and an item `ROWSxBYTES` as many rows of as many
bytes.
*/
import * as net from 'node:net';

const largeItem = /^(?<rows>\d+)x(?<bytes>\d+)$/v;
const workMs = 3;
const defaultOptions = {connections: 16, promotionMs: 1000};
/** One-way delays of the network between the primary and a replica, and their jitter, as on the site's sheet. */
const delayMs = {within: 0.1, zone: 4.4, region: 8};
const jitter = 0.3;
const regions = {'zone-a': 'region-1', 'zone-b': 'region-2', 'zone-c': 'region-3'};

export class Group {
	servers = [];
	/** What the servers ran: the id, the text and the server. */
	executed = [];
	/** The promotions that took effect, with the log that the server had. */
	promotions = [];
	/** Called with each change of a server that it reports to the store. */
	onReport = () => undefined;
	#signatures = 0;

	constructor(name, options = {}) {
		this.name = name;
		this.options = {...defaultOptions, ...options};
	}

	/** The server that was promoted last, or started as primary. It leads again if it comes back after a crash. */
	lastPromoted;

	get primary() {
		return this.servers.find(({role, isDown}) => role === 'primary' && !isDown);
	}

	async add(id, zone, role) {
		const server = {
			id, zone, role, term: 1, log: [], heldTerm: 0, receivedAt: 0, state: 'ready', startedAt: Date.now(), sockets: new Set(), isDown: false, isDark: false, port: 0,
		};
		if (role === 'primary') {
			this.lastPromoted = server;
		}

		await this.#listen(server);
		this.servers.push(server);
		return server;
	}

	describe({zone, role, startedAt, port, state}) {
		return {
			service: this.name, address: `127.0.0.1:${port}`, zone, version: '1', slots: 2, state, coldRemainingMs: 0, sequence: 1, dbRole: role, born: startedAt,
		};
	}

	/** Carries out the promotion of a running server after some time; false if it isn't running. */
	promote(id) {
		const target = this.servers.find(server => server.id === id && !server.isDown && !server.isDark);
		if (!target) {
			return false;
		}

		if (target.role !== 'primary') {
			setTimeout(() => {
				this.#takeLead(target);
			}, this.options.promotionMs);
		}

		return true;
	}

	/** Ends the process of a server: its connections are reset, and it keeps its log only. */
	crash(server) {
		server.isDown = true;
		server.listener.close();
		for (const socket of server.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Makes a server silent: it answers nothing and replicates nothing, and connections to it hang. */
	darken(server) {
		server.isDark = true;
		for (const socket of server.sockets) {
			socket.pause();
		}
	}

	/** Ends that. The connections of before are reset. */
	lighten(server) {
		server.isDark = false;
		for (const socket of server.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Starts a crashed server again: under a new id, with its log, and as a replica if another server was promoted. */
	async restart(server) {
		server.id = `${server.id}-again`;
		await this.#start(server);
	}

	/** Starts a replica again under the id that it had: it holds and knows nothing of before. */
	async startAnew(server) {
		server.log = [];
		await this.#start(server);
	}

	async #start(server) {
		server.role = this.lastPromoted === server ? 'primary' : 'replica';
		server.heldTerm = 0;
		server.state = 'ready';
		server.startedAt = Date.now();
		await this.#listen(server);
		server.isDown = false;
		this.onReport(server);
	}

	close() {
		for (const {listener, sockets} of this.servers) {
			listener.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		}
	}

	async #listen(server) {
		server.listener = net.createServer({noDelay: true}, socket => {
			this.#accept(server, socket);
		});
		await new Promise(resolve => {
			server.listener.listen(server.port, '127.0.0.1', resolve);
		});
		server.port = server.listener.address().port;
	}

	#takeLead(target) {
		if (target.isDown || target.role === 'primary') {
			return;
		}

		const term = Math.max(...this.servers.map(server => server.term)) + 1;
		this.promotions.push({
			at: Date.now(), server: target.id, term, log: [...target.log],
		});
		this.lastPromoted = target;
		for (const server of this.servers) {
			const isChanged = server.role !== (server === target ? 'primary' : 'replica');
			server.role = server === target ? 'primary' : 'replica';
			server.term = term;
			server.heldTerm = 0;
			server.log = [...target.log];
			if (isChanged && !server.isDown) {
				this.onReport(server);
			}
		}
	}

	#accept(server, socket) {
		server.sockets.add(socket);
		if (server.isDark) {
			socket.on('error', () => socket.destroy());
			socket.on('close', () => server.sockets.delete(socket));
			return;
		}

		const session = {
			state: 'I', isPlain: false, writes: [], values: new Map(), prepared: new Map(),
		};
		let text = '';
		let work = Promise.resolve();
		socket.on('error', () => socket.destroy());
		socket.on('close', () => server.sockets.delete(socket));
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			const lines = text.split('\r\n');
			text = lines.pop();
			for (const line of lines) {
				work = this.#handleAfter(work, server, socket, session, line);
			}
		});
	}

	async #handleAfter(previous, ...request) {
		await previous;
		await this.#handle(...request);
	}

	async #handle(server, socket, session, line) {
		if (server.isDark) {
			return;
		}

		const [word, first, ...rest] = line.split(' ');
		if (word === 'STARTUP') {
			const isWrong = first !== this.name || rest.at(-1) !== server.id;
			if (isWrong || server.sockets.size > this.options.connections) {
				socket.end(`ERROR ${isWrong ? 'WRONGNODE' : 'CONNLIMIT'} ${server.id}\r\n`);
			} else {
				socket.write(`READY I ${endOf(server).join('.')}\r\n`);
			}
		} else if (word === 'QUERY') {
			const {rows = [], signature = '-', error} = await this.#query(server, session, first, rest.join(' '));
			for (const row of rows) {
				socket.write(`DATAROW ${row}\r\n`, 'latin1');
			}

			socket.write(`${error ? `ERROR ${error} ${server.id}` : `COMPLETE ${signature}`}\r\nREADY ${session.state} ${endOf(server).join('.')}\r\n`);
		}
	}

	async #query(server, session, id, text) {
		const match = /^MINLSN (?<term>\d+)\.(?<index>\d+) (?<rest>.*)$/v.exec(text);
		if (match) {
			const [term, index] = endOf(server);
			const isLagging = term < Number(match.groups.term) || (term === Number(match.groups.term) && index < Number(match.groups.index));
			return isLagging ? {error: 'LAGGING'} : this.#execute(server, session, id, match.groups.rest);
		}

		return this.#execute(server, session, id, text);
	}

	async #execute(server, session, id, text) {
		const [word, name, ...rest] = text.split(' ');
		switch (word) {
			case 'RESET': {
				session.values.clear();
				session.prepared.clear();
				return {};
			}

			case 'SET': {
				session.values.set(name, rest.join(' '));
				return {};
			}

			case 'PREPARE': {
				session.prepared.set(name, rest.join(' '));
				return {};
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				return this.#control(server, word, Number(name));
			}

			case 'BEGIN': {
				if (name === undefined && server.role !== 'primary') {
					return {error: 'READONLY'};
				}

				session.state = 'T';
				session.isPlain = name === undefined;
				session.writes = [];
				return {};
			}

			case 'ROLLBACK': {
				session.state = 'I';
				return {};
			}

			case 'COMMIT': {
				session.state = 'I';
				this.executed.push({id, text, server: server.id});
				return this.#commit(server, id, session.writes);
			}

			case 'READ':
			case 'WRITE': {
				return this.#run(server, session, id, text);
			}

			default: {
				return {error: 'MALFORMED'};
			}
		}
	}

	#control(server, word, term) {
		if (word === 'PAUSE' && server.role === 'replica' && term > server.term) {
			server.heldTerm = Math.max(server.heldTerm, term);
		} else if (word === 'RESUME') {
			server.heldTerm = 0;
		} else if (word === 'STEPDOWN' && server.role === 'primary' && server.term < term) {
			server.role = 'replica';
			this.onReport(server);
		}

		return {rows: [`${server.role} ${server.term} ${endOf(server).join('.')} ${server.heldTerm} 20 0 ${server.sockets.size}`]};
	}

	async #run(server, session, id, text) {
		const [word, item] = text.split(' ');
		await sleep(workMs);
		if (server.role !== 'primary' && (word === 'WRITE' || (session.state === 'T' && session.isPlain))) {
			return {error: 'READONLY'};
		}

		this.executed.push({id, text, server: server.id});
		if (word === 'WRITE' && session.state === 'T') {
			session.writes.push(id);
			return {signature: this.#sign(id)};
		}

		if (word === 'WRITE') {
			return this.#commit(server, id, [id]);
		}

		const size = largeItem.exec(item)?.groups;
		const rows = size ? Array.from({length: Number(size.rows)}, () => 'x'.repeat(Number(size.bytes))) : [`row-${id}`];
		return {rows, signature: this.#sign(id)};
	}

	#sign(id) {
		this.#signatures++;
		return `${this.#signatures}.${id}`;
	}

	/** Makes a commit at the primary. It is acknowledged once a replica has it; one that never has isn't answered in time. */
	async #commit(server, id, ids) {
		if (ids.length === 0) {
			return {signature: this.#sign(id)};
		}

		if (server.role !== 'primary') {
			return {error: 'READONLY'};
		}

		server.log.push({ids, term: server.term});
		const {length} = server.log;
		const replicas = this.servers.filter(other => other !== server);
		try {
			await Promise.any(replicas.map(async replica => this.#ship(server, replica, length)));
			return {signature: this.#sign(id)};
		} catch {
			return {error: 'TIMEOUT'};
		}
	}

	/** Sends a primary's log to a replica, which takes some time. Rejects if the replica doesn't receive it. */
	async #ship(primary, replica, length) {
		const {term} = primary;
		const entries = primary.log.slice(0, length);
		const delay = distanceOf(primary, replica) * (1 - jitter + (2 * jitter * Math.random()));
		// What a replica receives arrives in order.
		replica.receivedAt = Math.max(replica.receivedAt, performance.now() + delay);
		await sleep(replica.receivedAt - performance.now());
		const isCut = replica.isDown || primary.isDark || replica.isDark || replica.heldTerm > term || replica.term !== term || replica.role === 'primary';
		if (isCut) {
			throw new Error('not received');
		}

		if (replica.log.length < length) {
			replica.log = entries;
		}

		return true;
	}
}

function distanceOf(one, other) {
	if (one.zone === other.zone) {
		return delayMs.within;
	}

	return regions[one.zone] === regions[other.zone] ? delayMs.zone : delayMs.region;
}

function endOf({log, term}) {
	return [log.at(-1)?.term ?? term, log.length];
}

export const regionOf = zone => regions[zone];

export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
