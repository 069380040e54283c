/** A client of the line protocol: one session, one request at a time. */
import * as net from 'node:net';

export class Client {
	#socket;
	#text = '';
	#lines = [];
	#wake;
	isClosed = false;

	/** Opens a session; resolves to its first message. */
	async open(address, database) {
		const [host, port] = address.split(':');
		this.#socket = net.connect({host, port: Number(port), noDelay: true});
		this.#socket.on('error', () => undefined);
		this.#socket.on('close', () => {
			this.isClosed = true;
			this.#wake?.();
		});
		this.#socket.on('data', chunk => {
			this.#text += chunk.toString('latin1');
			const lines = this.#text.split('\r\n');
			this.#text = lines.pop();
			this.#lines.push(...lines);
			this.#wake?.();
		});
		this.#socket.write(`STARTUP ${database} u1\r\n`);
		return await this.#next() ?? 'closed';
	}

	/** Sends a statement. Resolves to its outcome, the number of rows and their bytes; `closed` if the connection ended. */
	async query(id, text) {
		this.#socket.write(`QUERY ${id} ${text}\r\n`);
		let rows = 0;
		let bytes = 0;
		let outcome = '';
		for (;;) {
			const line = await this.#next();
			if (line === undefined) {
				return {outcome: 'closed', rows, bytes};
			}

			if (line.startsWith('DATAROW ')) {
				rows++;
				bytes += line.length - 'DATAROW '.length;
			} else if (line.startsWith('READY ')) {
				return {outcome, rows, bytes};
			} else {
				outcome = line;
			}
		}
	}

	close() {
		this.#socket.destroy();
	}

	async #next() {
		while (this.#lines.length === 0 && !this.isClosed) {
			await new Promise(resolve => {
				this.#wake = resolve;
			});
		}

		return this.#lines.shift();
	}
}
