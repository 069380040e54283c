/** Clients that write to the primary route one after the other and note the outcome of each write. */
import {Client} from './client.js';
import {sleep} from './group.js';

const pauseMs = 5;
const retryMs = 40;

export class Writers {
	/** The outcome of each write, by id: when it was sent and answered, and the first word of the answer. */
	outcomes = new Map();
	isStopped = false;
	#tasks = [];

	/** Starts clients at a host. */
	start(host, count) {
		for (let number = 1; number <= count; number++) {
			this.#tasks.push(this.#write(host, `${host.name}-c${number}`));
		}
	}

	async stop() {
		this.isStopped = true;
		await Promise.all(this.#tasks);
	}

	get acknowledged() {
		return [...this.outcomes].filter(([, {answer}]) => answer === 'COMPLETE').map(([id, times]) => ({id, ...times}));
	}

	async #write(host, name) {
		let number = 0;
		while (!this.isStopped) {
			const client = new Client();
			const opened = await client.open(host.front, 'ledger');
			while (opened.startsWith('READY') && !client.isClosed && !this.isStopped) {
				number++;
				const id = `${name}-w${number}`;
				const sentAt = Date.now();
				const {outcome} = await client.query(id, `WRITE a${number % 50} d${number}`);
				const [word, code] = outcome.split(' ');
				const answer = word === 'ERROR' ? code : word;
				this.outcomes.set(id, {sentAt, answeredAt: Date.now(), answer});
				await sleep(answer === 'COMPLETE' ? pauseMs : retryMs);
			}

			client.close();
			await sleep(retryMs);
		}
	}
}
